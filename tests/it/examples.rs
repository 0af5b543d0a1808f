//! The example configurations of both sites are valid.

use std::collections::BTreeMap;
use std::path::PathBuf;

use landingvalve::account;
use landingvalve::config;
use landingvalve::config::Account;
use landingvalve::config::Template;
use landingvalve::job;
use landingvalve::site::Site;
use landingvalve_standin::site::Config;

fn read<T: serde::de::DeserializeOwned>(site: &str, name: &str) -> T {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("examples").join(site).join(name);
    let text = std::fs::read_to_string(&path).expect("an example");
    serde_json::from_str(&text)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn examples_of_both_sites_pass_every_check() {
    let mut site = Site::new(8).unwrap();
    for [hall, rack, worker] in Config::with_entries(1).worker_places() {
        site.add(&hall, &rack, &worker).unwrap();
    }
    for name in ["wiezogrod", "vedurskra"] {
        let accounts: BTreeMap<account::Id, Account> =
            read(name, "accounts.json");
        let templates: BTreeMap<job::TemplateId, Template> =
            read(name, "templates.json");
        for (id, account) in &accounts {
            assert_eq!(config::check_account(id, account), [], "{id}");
        }
        for (id, template) in &templates {
            let problems = config::check_template(id, template, &site);
            assert_eq!(problems, [], "{id}");
        }
        let problems = config::check_guarantees(&site, accounts.iter());
        assert_eq!(problems, [], "{name}");
    }
}

#[test]
fn promise_guarantee_that_does_not_fit_is_rejected_with_its_account_named() {
    let mut site = Site::new(8).unwrap();
    for [hall, rack, worker] in Config::with_entries(1).worker_places() {
        site.add(&hall, &rack, &worker).unwrap();
    }
    let mut accounts: BTreeMap<account::Id, Account> =
        read("wiezogrod", "accounts.json");
    let greedy = accounts.get_mut("ladder").unwrap();
    greedy.guarantee = vec![landingvalve::site::Shape {
        accelerators: 32,
        within: landingvalve::site::Within::Rack,
    }];
    let problems = config::check_guarantees(&site, accounts.iter());
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].field, "accounts.ladder.guarantee[0]");
}
