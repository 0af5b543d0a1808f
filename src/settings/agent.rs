//! Settings of an agent.

use std::path::Path;

use crate::agent::Config;
use crate::settings::Common;
use crate::settings::Error;
use crate::settings::Field;
use crate::settings::File;
use crate::settings::COMMON_FIELDS;
use crate::site::MAX_ACCELERATORS;

/// The settings that an agent has besides the common ones.
pub const FIELDS: &[Field] = &[
    Field {
        section: "agent",
        key: "worker",
        default: None,
        expected: "the worker's name on the platform's list",
        help: "The worker that the agent stands beside.",
    },
    Field {
        section: "agent",
        key: "listen",
        default: None,
        expected: "an IP address and port, as 10.0.1.1:8082",
        help: "Where it listens for other processes of the system.",
    },
    Field {
        section: "agent",
        key: "endpoint",
        default: None,
        expected: "a URL, as http://127.0.0.1:9000",
        help: "The endpoint's task interface.",
    },
    Field {
        section: "site",
        key: "accelerators",
        default: Some("8"),
        expected: "1 to 64 accelerators a worker",
        help: "How many accelerators the worker has.",
    },
];

/// Returns the file of an agent's settings, to be printed.
pub fn file(path: &Path) -> File {
    File::read(path, &[FIELDS, COMMON_FIELDS])
}

/// Reads an agent's settings.
///
/// # Errors
///
/// Everything that is wrong with the file.
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
        listen: listen?,
        endpoint: endpoint?,
        log: crate::log::none(),
    };
    Some((config, common?))
}
