//! Settings files: all problems are reported at once, and printed settings
//! read back the same.

use std::path::PathBuf;

use landingvalve::settings;

/// A temporary settings file, removed at the end of the test.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let file = format!("landingvalve-{}-{name}.ini", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("a writable folder");
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn all_problems_are_reported_at_once_with_section_key_and_value() {
    let file = File::new(
        "wrong",
        "[entry]\nname = e1\ncallers = here\n[policy]\n\
         weight_fragmentation = 2\n[platform]\nstore = ftp://x\n\
         speed = 9\n",
    );
    let error = settings::entry::read(&file.0).unwrap_err();
    let report = error.to_string();
    let expected = [
        "[platform] speed = \"9\", expected one of",
        "[entry] callers = \"here\", expected an IP address and port",
        "[entry] peers = \"\", expected an IP address and port",
        "[platform] store = \"ftp://x\", expected a URL",
        "[platform] vms = \"\", expected a URL",
        "[policy] weight_fragmentation = \"2\", expected 0 to 1",
        "[operators] token_digest = \"\", expected a SHA-256 digest",
    ];
    for message in expected {
        assert!(report.contains(message), "{message} is not in\n{report}");
    }
    assert_eq!(error.problems.len(), expected.len(), "{report}");
}

#[test]
fn examples_are_valid_and_printed_settings_read_back_the_same() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples");
    for site in ["wiezogrod", "vedurskra"] {
        let path = root.join(site).join("entry.ini");
        let (config, _) = settings::entry::read(&path).expect(site);
        let printed = settings::entry::file(&path).to_ini();
        let copy = File::new(site, &printed);
        let (reread, _) = settings::entry::read(&copy.0).expect(site);
        assert_eq!(config.policy, reread.policy);
        assert_eq!(config.callers_address, reread.callers_address);
        let path = root.join(site).join("agent.ini");
        settings::agent::read(&path).expect(site);
    }
}
