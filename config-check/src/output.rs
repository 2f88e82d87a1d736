//! Prints results as text or as JSON.

use jzon::JsonValue;
use vanepath_config::ValidationError;
use vanepath_config::json_reader::validation_errors_as_json;
use vanepath_config_check::Finding;
use vanepath_config_check::revision_regressions::DaemonRevision;

/// Prints the validation errors of a configuration file.
pub fn print_validation_errors(file: &str, errors: &[ValidationError], as_json: bool) {
    if as_json {
        let value = jzon::object! { "valid": false, "faults": validation_errors_as_json(errors) };
        println!("{}", value.pretty(2));
        return;
    }
    println!("{file} would be refused:");
    for error in errors {
        println!("  {error}");
    }
}

/// Prints that a configuration file is valid; it was not checked against a fleet.
pub fn print_valid(file: &str, as_json: bool) {
    if as_json {
        println!("{}", jzon::object! { "valid": true }.pretty(2));
    } else {
        println!("{file} is valid in itself; --registry checks it against a fleet");
    }
}

/// Prints the findings of a check against a fleet; `revision` is that of the fleet's active configuration.
pub fn print_findings(findings: &[Finding], is_good: bool, revision: u64, as_json: bool) {
    if as_json {
        let rows: Vec<JsonValue> = findings.iter().map(finding_as_json).collect();
        let value = jzon::object! {
            "valid": true,
            "good": is_good,
            "revisionInForce": revision,
            "findings": rows,
        };
        println!("{}", value.pretty(2));
        return;
    }
    for finding in findings {
        println!("{:8} {}: {}", finding.severity.to_string(), finding.path, finding.message);
    }
    println!("{}", if is_good { "good" } else { "not good" });
}

fn finding_as_json(finding: &Finding) -> JsonValue {
    jzon::object! {
        "weight": finding.severity.to_string(),
        "path": finding.path.as_str(),
        "message": finding.message.as_str(),
    }
}

/// Prints how the revisions of all daemons compare with those that they had before.
pub fn print_revisions(results: &[DaemonRevision], is_good: bool, as_json: bool) {
    if as_json {
        let rows: Vec<JsonValue> = results.iter().map(revision_as_json).collect();
        println!("{}", JsonValue::Array(rows).pretty(2));
        return;
    }
    for result in results {
        println!("{:8} {}: {}", result.state.to_string(), result.name, result.message);
    }
    println!("{}", if is_good { "nobody is behind" } else { "not good" });
}

fn revision_as_json(result: &DaemonRevision) -> JsonValue {
    jzon::object! {
        "name": result.name.as_str(),
        "state": result.state.to_string(),
        "message": result.message.as_str(),
    }
}
