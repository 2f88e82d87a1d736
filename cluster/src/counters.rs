//! Metrics counters: an array of atomics, indexed by an enum whose variants name the metrics (design 9.3).

use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering};
use strum::IntoEnumIterator;

/// One counter for each variant of the enum `C`, which [`counters!`](crate::counters!) declares.
pub struct Counters<C> {
    counts: Vec<AtomicU64>,
    counter_enum: PhantomData<fn(C)>,
}

impl<C> Default for Counters<C>
where
    C: IntoEnumIterator + Into<&'static str> + Into<usize>,
{
    fn default() -> Counters<C> {
        let counts = C::iter().map(|_| AtomicU64::default()).collect();
        Counters { counts, counter_enum: PhantomData }
    }
}

impl<C> Counters<C>
where
    C: IntoEnumIterator + Into<&'static str> + Into<usize>,
{
    /// Adds an amount to a counter.
    pub fn add(&self, counter: C, amount: u64) {
        let index: usize = counter.into();
        self.counts[index].fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds one to a counter.
    pub fn increment(&self, counter: C) {
        self.add(counter, 1);
    }

    /// The current value of a counter.
    pub fn get(&self, counter: C) -> u64 {
        let index: usize = counter.into();
        self.counts[index].load(Ordering::Relaxed)
    }

    /// Writes all counters into a JSON object, under their metric names.
    pub fn write_json(&self, object: &mut jzon::JsonValue) {
        for (counter, count) in C::iter().zip(&self.counts) {
            let name: &'static str = counter.into();
            object[name] = count.load(Ordering::Relaxed).into();
        }
    }
}

/// Declares an enum of counters. A variant's name in camel case is the metric's name in `/v1/metrics`,
/// unless `#[strum(serialize = "...")]` gives another one.
#[macro_export]
macro_rules! counters {
    ($(#[$meta:meta])* $vis:vis enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident),* $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, strum::EnumIter, strum::IntoStaticStr)]
        #[strum(serialize_all = "camelCase")]
        $vis enum $name { $($(#[$variant_meta])* $variant),* }
        impl From<$name> for usize {
            fn from(counter: $name) -> usize {
                counter as usize
            }
        }
    };
}
