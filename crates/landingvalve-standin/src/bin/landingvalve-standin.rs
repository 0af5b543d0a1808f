//! Serves a stand-in platform for agents and entries that run as separate
//! processes.
//!
//! The program prints one JSON object with all addresses, and serves until it
//! is interrupted. The list of VMs names agents and entries at consecutive
//! ports from a base port, where the caller of the program starts them.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use hyper::StatusCode;
use landingvalve::http;
use landingvalve::vms::Role;
use landingvalve::vms::Status;
use landingvalve::vms::Vm;
use landingvalve_standin::Endpoint;
use landingvalve_standin::Store;
use landingvalve_standin::Vms;
use serde_json::json;

/// Serves a stand-in platform: a store, a list of VMs and endpoints.
#[derive(Parser)]
struct Args {
    /// The number of workers, eight per rack.
    #[arg(long, default_value_t = 11)]
    workers: u16,
    /// The number of entries.
    #[arg(long, default_value_t = 3)]
    entries: u16,
    /// The port of the first agent; the ports of the entries follow those of
    /// the agents.
    #[arg(long, default_value_t = 21_000)]
    port: u16,
}

/// Serves the call counts of the store.
struct CallCounter {
    store: Store,
}

impl http::Handler for CallCounter {
    async fn handle(&self, _request: http::Request) -> http::Response {
        let calls = self.store.calls();
        let body = json!({"paths": calls.by_path, "seconds": calls.by_second});
        http::json(StatusCode::OK, &body)
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let store = Store::start().await?;
    let store_url = store.url();
    let vms = Vms::start().await?;
    let mut endpoints = Vec::new();
    let mut workers = Vec::new();
    for number in 0..args.workers {
        let endpoint = Endpoint::start().await?;
        let name = format!("w{number}");
        let address = format!("127.0.0.1:{}", args.port + number);
        vms.put(Vm {
            name: name.as_str().into(),
            role: Role::Endpoint,
            state: Status::Live,
            hall: "h1".into(),
            rack: format!("r{}", number / 8).into(),
            address: address.clone(),
        });
        workers.push(json!({"worker": name, "listen": address,
            "endpoint": endpoint.url()}));
        endpoints.push(endpoint);
    }
    let mut entries = Vec::new();
    for number in 0..args.entries {
        let name = format!("e{number}");
        let peers_port = args.port + args.workers + 2 * number;
        let address = format!("127.0.0.1:{peers_port}");
        vms.put(Vm {
            name: name.as_str().into(),
            role: Role::Entry,
            state: Status::Live,
            hall: "h1".into(),
            rack: "r0".into(),
            address: address.clone(),
        });
        let callers_address = format!("127.0.0.1:{}", peers_port + 1);
        entries.push(json!({"name": name, "peers": address,
            "callers": callers_address}));
    }
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let counter = Arc::new(CallCounter { store });
    let counter = http::Server::start(loopback, counter).await?;
    println!(
        "{}",
        json!({"store": store_url, "vms": vms.url(),
            "calls": format!("http://{}", counter.address()),
            "workers": workers, "entries": entries})
    );
    tokio::signal::ctrl_c().await
}
