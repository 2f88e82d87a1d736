//! A program's arguments: what they ask for, and the settings that they and the file give.

use super::checks::check_settings;
use super::keys::{Source, keys_of};
use super::{Role, Settings};
use crate::ValidationError;
use crate::json_reader::JsonReader;
use jzon::JsonValue;
use jzon::object::Object;
use std::fmt;
use std::path::PathBuf;

/// What the arguments ask for.
pub enum Invocation {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this and end with success.
    Print(String),
}

/// Why a program cannot start; its text is the message for the operator.
#[derive(Debug)]
pub enum StartError {
    /// The arguments do not follow the program's usage.
    Usage(getopts::Fail),
    /// An argument that is no flag.
    UnexpectedArgument(String),
    /// The settings file cannot be read.
    UnreadableSettings {
        /// As it was given.
        file: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The configuration to be checked cannot be read.
    UnreadableConfig {
        /// As it was given.
        file: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The settings are invalid.
    InvalidSettings(Vec<ValidationError>),
    /// The configuration to be checked is invalid.
    InvalidConfig {
        /// As it was given.
        file: String,
        /// What is wrong with it.
        errors: Vec<ValidationError>,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Usage(error) => write!(out, "{error}; see --help"),
            StartError::UnexpectedArgument(argument) => {
                write!(out, "unexpected argument '{argument}'; see --help")
            }
            StartError::UnreadableSettings { file, error } => {
                write!(out, "settings: cannot read {file}: {error}")
            }
            StartError::UnreadableConfig { file, error } => {
                write!(out, "cannot read {file}: {error}")
            }
            StartError::InvalidSettings(errors) => {
                out.write_str("the settings cannot be used\n")?;
                write_list(out, errors)
            }
            StartError::InvalidConfig { file, errors } => {
                writeln!(out, "{file} would be refused")?;
                write_list(out, errors)
            }
        }
    }
}

/// One validation error a line.
fn write_list(out: &mut fmt::Formatter<'_>, errors: &[ValidationError]) -> fmt::Result {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    out.write_str(&lines.join("\n"))
}

// The messages hold their causes already, so that no error is named as the source of another.
impl std::error::Error for StartError {}

impl miette::Diagnostic for StartError {}

/// Reads the arguments and the settings file.
///
/// # Errors
/// Why the program cannot start, for its operator.
pub fn parse_arguments(role: Role, arguments: &[String]) -> Result<Invocation, StartError> {
    let options = options_of(role);
    let matches = options.parse(arguments).map_err(StartError::Usage)?;
    if matches.opt_present("help") {
        let brief = format!("Usage: vanepath-{role} [options]\nvanepath's {role} daemon.");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!("vanepath-{role} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(argument) = matches.free.first() {
        return Err(StartError::UnexpectedArgument(argument.clone()));
    }
    if role == Role::Registry
        && let Some(file) = matches.opt_str("check-setup")
    {
        return check_config(file).map(Invocation::Print);
    }
    let mut settings = read_settings(role, &matches)?;
    settings.arguments = arguments.to_vec();
    settings.file = matches.opt_str("settings").map(PathBuf::from);
    settings.rescue = role == Role::Store && matches.opt_present("rescue");
    if matches.opt_present("check") {
        Ok(Invocation::Print("settings are good".to_string()))
    } else {
        Ok(Invocation::Run(Box::new(settings)))
    }
}

fn options_of(role: Role) -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optflag("V", "version", "show the version and end");
    options.optflag("", "check", "check the settings and end");
    options.optopt("s", "settings", "settings file (JSON)", "FILE");
    if role == Role::Registry {
        options.optopt("", "check-setup", "check a setup as the interface would and end", "FILE");
    }
    if role == Role::Store {
        let meaning = "a majority of disks is lost: go on from this copy alone, then end; \
                       see docs/operators.md first";
        options.optflag("", "rescue", meaning);
    }
    for key in keys_of(role) {
        match key.source {
            Source::FileOnly => continue,
            Source::List => options.optmulti("", key.flag, key.meaning, "IP:PORT"),
            Source::Text | Source::Json => options.optopt("", key.flag, key.meaning, "VALUE"),
        };
    }
    options
}

/// Checks a configuration as the operators' interface would.
fn check_config(file: String) -> Result<String, StartError> {
    let bytes = match std::fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) => return Err(StartError::UnreadableConfig { file, error }),
    };
    match crate::model::parse(&bytes) {
        Ok(config) => Ok(format!(
            "good: {} classes, {} services, {} rules",
            config.classes.len(),
            config.services.len(),
            config.rules.len()
        )),
        Err(errors) => Err(StartError::InvalidConfig { file, errors }),
    }
}

/// The settings of the file, overridden by the flags, and checked.
fn read_settings(role: Role, matches: &getopts::Matches) -> Result<Settings, StartError> {
    let mut reader = JsonReader::default();
    let mut values = match matches.opt_str("settings") {
        Some(file) => read_file(role, file, &mut reader)?,
        None => Object::new(),
    };
    override_by_flags(role, matches, &mut values);
    match check_settings(role, &values, &mut reader) {
        Some(settings) if reader.errors.is_empty() => Ok(settings),
        _ => Err(StartError::InvalidSettings(reader.errors)),
    }
}

fn read_file(role: Role, file: String, reader: &mut JsonReader) -> Result<Object, StartError> {
    let bytes = match std::fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) => return Err(StartError::UnreadableSettings { file, error }),
    };
    let known_keys: Vec<&str> = keys_of(role).map(|key| key.name).collect();
    let document = reader.document(&bytes);
    let object = document.as_ref().and_then(|value| reader.object("$", value, &known_keys));
    Ok(object.cloned().unwrap_or_else(Object::new))
}

fn override_by_flags(role: Role, matches: &getopts::Matches, values: &mut Object) {
    for key in keys_of(role).filter(|key| key.source != Source::FileOnly) {
        let given = matches.opt_strs(key.flag);
        let Some(first) = given.first() else { continue };
        let value = match key.source {
            Source::List => JsonValue::Array(given.into_iter().map(Into::into).collect()),
            Source::Json => jzon::parse(first).unwrap_or_else(|_| JsonValue::String(first.clone())),
            Source::Text | Source::FileOnly => JsonValue::String(first.clone()),
        };
        values.insert(key.name, value);
    }
}
