//! How old the endpoint list is at the stages of its way from the platform to a request: the measured shares
//! of the time limit for draining servers (design 4).

use crate::histogram::DurationHistogram;
use jzon::JsonValue;
use std::time::Duration;

/// A stage on the way of the endpoint list. The status pages show the name, the metrics begin with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "camelCase")]
pub enum ListStage {
    /// A registry completed a read of the list from the platform.
    Read,
    /// A node learned of a list that differs from its own.
    Learned,
    /// A proxy sent a request to a server of the list.
    Used,
}

/// The ages of the endpoint list at each stage, measured from the start of the read that returned it.
#[derive(Default)]
pub struct ListAges {
    read: DurationHistogram,
    learned: DurationHistogram,
    used: DurationHistogram,
}

impl ListAges {
    /// Records the age of the list at a stage.
    pub fn record(&self, stage: ListStage, age: Duration) {
        self.histogram(stage).record(age);
    }

    /// The ages at these stages, for a status page.
    pub fn as_json(&self, stages: &[ListStage]) -> JsonValue {
        let mut ages = JsonValue::new_object();
        for stage in stages {
            let name: &'static str = stage.into();
            ages[name] = self.histogram(*stage).summary().as_json();
        }
        ages
    }

    /// Writes the ages at these stages into the metrics.
    pub fn write_metrics(&self, stages: &[ListStage], metrics: &mut JsonValue) {
        for stage in stages {
            let name: &'static str = stage.into();
            self.histogram(*stage).summary().write_metrics(&format!("{name}ListAge"), metrics);
        }
    }

    fn histogram(&self, stage: ListStage) -> &DurationHistogram {
        match stage {
            ListStage::Read => &self.read,
            ListStage::Learned => &self.learned,
            ListStage::Used => &self.used,
        }
    }
}
