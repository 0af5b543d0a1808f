//! Settings of `landingvalve-entry`.

use std::path::Path;

use crate::entry::Config;
use crate::plan::Policy;
use crate::settings::Common;
use crate::settings::Error;
use crate::settings::Field;
use crate::settings::File;
use crate::settings::COMMON_FIELDS;
use crate::site::MAX_ACCELERATORS;
use crate::util::digest;

/// The declarations of the settings that are particular to an entry.
pub const FIELDS: &[Field] = &[
    Field {
        section: "entry",
        key: "name",
        default: None,
        expected: "a name that no other entry has",
        help: "The entry's name in logs and views.",
    },
    Field {
        section: "entry",
        key: "callers",
        default: None,
        expected: "an IP address and port, such as 10.0.0.1:8080",
        help: "The address for callers and operators.",
    },
    Field {
        section: "entry",
        key: "peers",
        default: None,
        expected: "an IP address and port, such as 10.0.0.1:8081",
        help: "The address for other processes of the system.",
    },
    Field {
        section: "platform",
        key: "store",
        default: None,
        expected: "a URL, such as http://10.0.0.9:2379",
        help: "The JSON gateway of the platform's store.",
    },
    Field {
        section: "platform",
        key: "vms",
        default: None,
        expected: "a URL, such as http://10.0.0.9:8000",
        help: "The platform's list of live and leaving VMs.",
    },
    Field {
        section: "site",
        key: "cell",
        default: Some("site"),
        expected: "the name that all entries of the cell share",
        help: "The name of the cell: the halls of one planner.",
    },
    Field {
        section: "site",
        key: "accelerators",
        default: Some("8"),
        expected: "1 to 64 accelerators a worker",
        help: "The number of accelerators of each worker.",
    },
    Field {
        section: "policy",
        key: "weight_fragmentation",
        default: Some("0.5"),
        expected: "0 to 1, 0 to weigh only early completion",
        help: "The weight of keeping whole workers free.",
    },
    Field {
        section: "operators",
        key: "token_digest",
        default: None,
        expected: "a SHA-256 digest, 64 characters of 0-9 and a-f",
        help: "The digest of the operators' token.",
    },
];

/// Reads the file of an entry's settings without converting the values, for
/// printing.
pub fn file(path: &Path) -> File {
    File::read(path, &[FIELDS, COMMON_FIELDS])
}

/// Reads and checks an entry's settings.
///
/// # Errors
///
/// All problems of the file.
pub fn read(path: &Path) -> Result<(Config, Common), Error> {
    let mut file = file(path);
    let settings = parse(&mut file);
    file.finish(settings)
}

fn parse(file: &mut File) -> Option<(Config, Common)> {
    let name = file.text("entry", "name");
    let callers = file.address("entry", "callers");
    let peers = file.address("entry", "peers");
    let store = file.url("platform", "store");
    let vms = file.url("platform", "vms");
    let cell = file.value("site", "cell", |text| {
        crate::config::is_name(text).then(|| text.to_owned())
    });
    let accelerators =
        file.number("site", "accelerators", 1, MAX_ACCELERATORS);
    let weight = file.number("policy", "weight_fragmentation", 0.0, 1.0);
    let operator = file.value("operators", "token_digest", |text| {
        digest::is_valid(text).then(|| text.to_owned())
    });
    let common = file.common();
    let config = Config {
        name: name?,
        callers_address: callers?,
        peers_address: peers?,
        store_url: store?,
        vms_url: vms?,
        cell: cell?,
        accelerators: accelerators?,
        policy: Policy {
            weight_fragmentation: weight?,
        },
        operator_token_digest: operator?,
        log: crate::log::none(),
    };
    Some((config, common?))
}
