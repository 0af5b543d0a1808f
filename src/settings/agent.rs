//! Settings of `landingvalve-agent`.

use std::path::Path;

use crate::agent::Config;
use crate::settings::Common;
use crate::settings::Error;
use crate::settings::Field;
use crate::settings::File;
use crate::settings::COMMON_FIELDS;
use crate::site::MAX_ACCELERATORS;

/// The declarations of the settings that are particular to an agent.
pub const FIELDS: &[Field] = &[
    Field {
        section: "agent",
        key: "worker",
        default: None,
        expected: "the worker's name on the platform's list",
        help: "The worker that the agent serves.",
    },
    Field {
        section: "agent",
        key: "listen",
        default: None,
        expected: "an IP address and port, such as 10.0.1.1:8082",
        help: "The address for other processes of the system.",
    },
    Field {
        section: "agent",
        key: "endpoint",
        default: None,
        expected: "a URL, such as http://127.0.0.1:9000",
        help: "The endpoint's task interface.",
    },
    Field {
        section: "site",
        key: "accelerators",
        default: Some("8"),
        expected: "1 to 64 accelerators a worker",
        help: "The number of accelerators of the worker.",
    },
];

/// Reads the file of an agent's settings without converting the values, for
/// printing.
pub fn file(path: &Path) -> File {
    File::read(path, &[FIELDS, COMMON_FIELDS])
}

/// Reads and checks an agent's settings.
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
    let worker = file.text("agent", "worker");
    let listen = file.address("agent", "listen");
    let endpoint = file.url("agent", "endpoint");
    let accelerators =
        file.number("site", "accelerators", 1, MAX_ACCELERATORS);
    let common = file.common();
    let config = Config {
        worker: worker?.into(),
        accelerators: accelerators?,
        listen_address: listen?,
        endpoint_url: endpoint?,
        log: crate::log::none(),
    };
    Some((config, common?))
}
