//! Whether anyone in a whole fleet goes by less than it ever did (design 5.8): what every registry
//! heard, and what each daemon says of itself, put together.

use std::collections::BTreeMap;

/// A daemon as any registry lists it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    pub role: String,
    pub address: String,
    /// The highest that any registry ever heard it tell as in force there, in any of its lives.
    pub floor: u64,
}

/// All daemons that registries list as live, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    pub listed: BTreeMap<String, Listed>,
}

impl Fleet {
    /// Adds what one registry's status tells; `None`: it is of another version.
    pub fn add(&mut self, status: &jzon::JsonValue) -> Option<()> {
        for daemon in status["daemons"].as_array()? {
            let text = |key: &str| daemon[key].as_str().map(str::to_string);
            let listed = self.listed.entry(text("name")?).or_default();
            listed.role = text("role")?;
            listed.address = text("address")?;
            listed.floor = listed.floor.max(daemon["floor"].as_u64().unwrap_or(0));
        }
        Some(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It goes by no less than any life of it is known to have gone by.
    Good,
    /// It goes by less.
    Behind,
    /// It has not met its floor yet, and takes no work.
    Waits,
    /// It did not tell its status.
    Unheard,
}

/// One daemon's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub name: String,
    pub state: State,
    pub text: String,
}

/// What a daemon's own status (`None`: it did not tell) comes to.
pub fn row(name: &str, listed: &Listed, status: Option<&jzon::JsonValue>) -> Row {
    let row = |state, text: String| Row { name: name.to_string(), state, text };
    let Some(status) = status else {
        let text = format!("went by revision {} when last heard of", listed.floor);
        return row(State::Unheard, text);
    };
    let floor = &status["floor"];
    if floor["met"].as_bool() != Some(true) {
        let shown = floor["floor"].as_u64().map_or("not known".to_string(), |one| one.to_string());
        let has = floor["has"].as_u64().unwrap_or(0);
        return row(State::Waits, format!("has revision {has}, the floor is {shown}"));
    }
    let revision = status["revision"].as_u64().unwrap_or(0);
    let text = format!(
        "goes by revision {revision}; began at {} by {} ({}), after {} ms",
        floor["floor"].as_u64().unwrap_or(0),
        floor["by"].as_str().unwrap_or("-"),
        floor["from"].as_str().unwrap_or("-"),
        floor["waitedMs"].as_u64().unwrap_or(0),
    );
    let least = listed.floor.max(floor["floor"].as_u64().unwrap_or(0));
    if revision < least {
        return row(State::Behind, format!("{text}; went by {least} before"));
    }
    row(State::Good, text)
}
