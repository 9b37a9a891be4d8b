//! The `hookpoint bundle` commands.

use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use hookpoint::operator::{BundleStatus, Operator};
use hookpoint::settings::{is_base_url, load_settings};
use hookpoint_protocol::platform::records::ActivePointer;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{Bundle, TrustedKeys, parse_bundle};
use hookpoint_transport::platform::PlatformClient;

use super::{key, run_in_actix_system};
use crate::flags::{self, BundleCmd};

/// Default limit on the whole command, retries included.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of one request to the platform.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of versions that `history` prints by default.
const DEFAULT_HISTORY: u64 = 20;

/// Runs the subcommand.
///
/// # Errors
/// Returns the error of the failed step; a [`hookpoint::operator::OperatorError`]
/// determines the exit code.
pub fn run(flags: flags::Bundle) -> Result<()> {
    if let BundleCmd::Check(check) = &flags.subcommand {
        return print_check(&check.file);
    }
    run_in_actix_system(run_on_platform(flags))
}

fn print_check(file: &Path) -> Result<()> {
    let bundle = read(file)?;
    println!(
        "{}: good bundle with {} zones, {} groups and {} databases",
        file.display(),
        bundle.zones.len(),
        bundle.groups.len(),
        bundle.databases.len()
    );
    Ok(())
}

fn read(file: &Path) -> Result<Bundle> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {name}"))?;
    Ok(parse_bundle(&name, &text)?)
}

async fn run_on_platform(flags: flags::Bundle) -> Result<()> {
    let (operator, trusted) = operator(&flags)?;
    match flags.subcommand {
        BundleCmd::Check(check) => print_check(&check.file),
        BundleCmd::Prepare(prepare) => {
            let floor = BundleVersion(prepare.above.unwrap_or(0));
            let bundle = read(&prepare.file)?;
            let record = operator.prepare_above(bundle, floor).await?;
            let version = record.bundle.version.0;
            println!("prepared version {version} digest {}", record.digest);
            Ok(())
        }
        BundleCmd::Approve(approve) => {
            let key = key::read(&approve.key)?;
            let version = BundleVersion(approve.version);
            let approval = operator.approve(&key, version).await?;
            let digest = approval.record.digest;
            let count = approval.record.signatures.len();
            println!(
                "approved version {} digest {digest} key {} approvals {count}",
                version.0, approval.key
            );
            Ok(())
        }
        BundleCmd::Roll(roll) => {
            let version = BundleVersion(roll.version);
            let seen = roll.seen.map(BundleVersion);
            let rolled = operator.roll(version, seen, trusted.as_ref()).await?;
            let previous = rolled.pointer.previous.0;
            println!("rolled version {} after version {previous}", version.0);
            if rolled.superseded {
                println!("another version has been rolled since");
            }
            Ok(())
        }
        BundleCmd::Status(_) => {
            print_status(&operator.status().await?);
            Ok(())
        }
        BundleCmd::History(history) => {
            let count = history.count.unwrap_or(DEFAULT_HISTORY);
            let pointers = operator.history(count).await?;
            pointers.iter().for_each(print_pointer);
            Ok(())
        }
    }
}

fn operator(flags: &flags::Bundle) -> Result<(Operator, Option<TrustedKeys>)> {
    let mut urls = flags.platform.clone();
    let mut trusted = None;
    if let Some(file) = &flags.settings {
        let settings = load_settings(file)?;
        if urls.is_empty() {
            urls = settings.platform.urls;
        }
        let keys = TrustedKeys::read(&settings.bundles.trusted_keys);
        let keys = keys.map_err(|(_, error)| error)?;
        trusted = (!keys.is_empty()).then_some(keys);
    }
    ensure!(!urls.is_empty(), "give --platform URL or --settings FILE");
    let invalid = urls.iter().find(|url| !is_base_url(url));
    if let Some(url) = invalid {
        bail!("--platform: `{url}` is no URL of the form http://ip:port");
    }
    let timeout = flags.timeout.map_or(DEFAULT_TIMEOUT, Duration::from_secs);
    let client = PlatformClient::new(urls, ANSWER_TIMEOUT.min(timeout));
    let name = flags
        .operator
        .clone()
        .or_else(|| std::env::var("USER").ok());
    let name = name.unwrap_or_else(|| "unnamed".to_owned());
    Ok((Operator::new(client, name, timeout), trusted))
}

fn print_status(status: &BundleStatus) {
    match &status.active {
        Some(pointer) => print_pointer(pointer),
        None => println!("nothing is in force"),
    }
    for bundle in &status.prepared {
        let approvals: Vec<String> = bundle.approved_by.iter().map(ToString::to_string).collect();
        let approvals = if approvals.is_empty() {
            "nobody".to_owned()
        } else {
            approvals.join(", ")
        };
        println!(
            "prepared version {} digest {} by {}, approved by {approvals}: {}",
            bundle.version.0, bundle.digest, bundle.prepared.by, bundle.description
        );
    }
}

fn print_pointer(pointer: &ActivePointer) {
    println!(
        "version {} digest {} after version {}, rolled by {} at {} ms",
        pointer.version.0,
        pointer.digest,
        pointer.previous.0,
        pointer.rolled.by,
        pointer.rolled.at_ms
    );
}
