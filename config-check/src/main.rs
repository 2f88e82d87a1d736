//! vanepath-config-check: checks a setup, alone or against the fleet as it is.

use http_body_util::BodyExt;
use vanepath_config_check::{FleetAsIs, Weight, check, fleet_from, floors};

fn main() -> std::process::ExitCode {
    match run() {
        Ok(code) => std::process::ExitCode::from(code),
        Err(report) => {
            eprintln!("Error: {report:?}");
            std::process::ExitCode::from(2)
        }
    }
}

/// 0: good; 1: findings of the weight asked for; 2: could not check; 3: the setup is invalid.
fn run() -> miette::Result<u8> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optflag("V", "version", "show the version and end");
    options.optopt("r", "registry", "check against the fleet of this registry", "IP:PORT");
    options.optflag("j", "json", "print JSON");
    options.optflag("s", "strict", "warnings count as findings too");
    options.optmulti("f", "floors", "ask this registry's fleet who is behind its floor", "IP:PORT");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches =
        options.parse(&arguments).map_err(|error| miette::miette!("{error}; see --help"))?;
    if matches.opt_present("help") {
        let brief = "Usage: vanepath-config-check [options] SETUP-FILE\n\
                     Checks a setup as the interface would and, with --registry, against the \
                     fleet as it is.\n\
                     vanepath-config-check --floors IP:PORT [--floors IP:PORT]: asks every daemon that \
                     these registries list whether it goes by less than it ever did.\n\
                     Exit codes: 0 good, 1 findings, 2 could not check, 3 invalid setup.";
        println!("{}", options.usage(brief));
        return Ok(0);
    }
    if matches.opt_present("version") {
        println!("vanepath-config-check {}", env!("CARGO_PKG_VERSION"));
        return Ok(0);
    }
    let asked = matches.opt_strs("floors");
    if !asked.is_empty() {
        return floors(&asked, matches.opt_present("json"));
    }
    let [file] = &matches.free[..] else {
        miette::bail!("one setup file is needed; see --help");
    };
    let as_json = matches.opt_present("json");
    let bytes =
        std::fs::read(file).map_err(|error| miette::miette!("cannot read {file}: {error}"))?;
    let setup = match vanepath_config::model::parse(&bytes) {
        Ok(setup) => setup,
        Err(faults) => {
            if as_json {
                let value = jzon::object! {
                    "valid": false,
                    "faults": vanepath_config::json_reader::validation_errors_as_json(&faults),
                };
                println!("{}", value.pretty(2));
            } else {
                println!("{file} would be refused:");
                for fault in &faults {
                    println!("  {fault}");
                }
            }
            return Ok(3);
        }
    };
    let Some(registry) = matches.opt_str("registry") else {
        if as_json {
            println!("{}", jzon::object! { "valid": true }.pretty(2));
        } else {
            println!("{file} is valid in itself; --registry checks it against a fleet");
        }
        return Ok(0);
    };
    let address: std::net::SocketAddr = registry
        .parse()
        .map_err(|_| miette::miette!("--registry: '{registry}' is not an IP number and a port"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start: {error}"))?;
    let fleet = runtime.block_on(read(address))?;
    let findings = check(&setup, &fleet);
    let least = if matches.opt_present("strict") { Weight::Warning } else { Weight::Bad };
    let is_good = findings.iter().all(|finding| finding.weight < least);
    if as_json {
        let listed: Vec<jzon::JsonValue> = findings
            .iter()
            .map(|finding| {
                jzon::object! {
                    "weight": finding.weight.to_string(),
                    "path": finding.path.as_str(),
                    "message": finding.message.as_str(),
                }
            })
            .collect();
        let value = jzon::object! {
            "valid": true,
            "good": is_good,
            "revisionInForce": fleet.revision,
            "findings": listed,
        };
        println!("{}", value.pretty(2));
    } else {
        for finding in &findings {
            println!("{:8} {}: {}", finding.weight.to_string(), finding.path, finding.message);
        }
        println!("{}", if is_good { "good" } else { "not good" });
    }
    Ok(u8::from(!is_good))
}

/// 0: nobody is behind; 1: somebody is, waits or cannot be asked; 2: no registry tells.
fn floors(asked: &[String], as_json: bool) -> miette::Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start: {error}"))?;
    let rows = runtime.block_on(async {
        let mut fleet = floors::Fleet::default();
        for registry in asked {
            let address = registry.parse().map_err(|_| {
                miette::miette!("--floors: '{registry}' is not an IP number and a port")
            })?;
            let status = page(address, "/v1/status").await?;
            fleet
                .add(&status)
                .ok_or_else(|| miette::miette!("the registry's status is of another version"))?;
        }
        let mut rows = Vec::new();
        for (name, listed) in &fleet.listed {
            let path = if listed.role == "proxy" { "/vanepath/v1/status" } else { "/v1/status" };
            let status = match listed.address.parse() {
                Ok(address) => page(address, path).await.ok(),
                Err(_) => None,
            };
            rows.push(floors::row(name, listed, status.as_ref()));
        }
        miette::Result::<Vec<floors::Row>>::Ok(rows)
    })?;
    if as_json {
        let rows: Vec<jzon::JsonValue> = rows
            .iter()
            .map(|row| {
                jzon::object! {
                    "name": row.name.as_str(),
                    "state": row.state.to_string(),
                    "message": row.text.as_str(),
                }
            })
            .collect();
        println!("{}", jzon::JsonValue::Array(rows).pretty(2));
    } else {
        for row in &rows {
            println!("{:8} {}: {}", row.state.to_string(), row.name, row.text);
        }
    }
    let is_good = rows.iter().all(|row| row.state == floors::State::Good);
    if !as_json {
        println!("{}", if is_good { "nobody is behind" } else { "not good" });
    }
    Ok(u8::from(!is_good))
}

async fn page(address: std::net::SocketAddr, path: &str) -> miette::Result<jzon::JsonValue> {
    let (status, body) = get(address, path).await?;
    if status != 200 {
        miette::bail!("{address} does not tell its status ({status})");
    }
    jzon::parse(&String::from_utf8_lossy(&body))
        .map_err(|error| miette::miette!("the status of {address} cannot be read: {error}"))
}

async fn read(address: std::net::SocketAddr) -> miette::Result<FleetAsIs> {
    let (status, body) = get(address, "/v1/status").await?;
    if status != 200 {
        miette::bail!("the registry at {address} does not tell its status ({status})");
    }
    let text = String::from_utf8_lossy(&body).to_string();
    let value = jzon::parse(&text)
        .map_err(|error| miette::miette!("the registry's status cannot be read: {error}"))?;
    let in_force = match get(address, "/v1/setup").await? {
        (200, body) => Some(body.to_vec()),
        (404, _) => None,
        (status, _) => miette::bail!("the setup in force cannot be read ({status})"),
    };
    fleet_from(&value, in_force)
        .ok_or_else(|| miette::miette!("the registry's status is of another version"))
}

async fn get(address: std::net::SocketAddr, path: &str) -> miette::Result<(u16, bytes::Bytes)> {
    let limit = std::time::Duration::from_secs(10);
    let fault = |error: &dyn std::fmt::Display| {
        miette::miette!("the registry at {address} cannot be asked: {error}")
    };
    let call = async {
        let stream =
            tokio::net::TcpStream::connect(address).await.map_err(|error| fault(&error))?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|error| fault(&error))?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let request = hyper::Request::get(path)
            .header(hyper::header::HOST, address.to_string())
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .map_err(|error| fault(&error))?;
        let receipt = sender.send_request(request).await.map_err(|error| fault(&error))?;
        let status = receipt.status().as_u16();
        let body = receipt.into_body().collect().await.map_err(|error| fault(&error))?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(limit, call).await.map_err(|_| fault(&"no reply in time"))?
}
