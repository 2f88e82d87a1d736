//! Counters first: one array of them for each daemon, by the daemon's own list (design 9.3).

pub struct Counters<C> {
    counts: Vec<std::sync::atomic::AtomicU64>,
    list: std::marker::PhantomData<fn(C)>,
}

impl<C> Default for Counters<C>
where
    C: strum::IntoEnumIterator + Into<&'static str> + Into<usize>,
{
    fn default() -> Counters<C> {
        let counts = C::iter().map(|_| Default::default()).collect();
        Counters { counts, list: std::marker::PhantomData }
    }
}

impl<C> Counters<C>
where
    C: strum::IntoEnumIterator + Into<&'static str> + Into<usize>,
{
    pub fn add(&self, counter: C, amount: u64) {
        let index: usize = counter.into();
        self.counts[index].fetch_add(amount, std::sync::atomic::Ordering::Relaxed);
    }

    pub fn increment(&self, counter: C) {
        self.add(counter, 1);
    }

    pub fn get(&self, counter: C) -> u64 {
        let index: usize = counter.into();
        self.counts[index].load(std::sync::atomic::Ordering::Relaxed)
    }

    pub fn write_json(&self, into: &mut jzon::JsonValue) {
        for (counter, count) in C::iter().zip(&self.counts) {
            let name: &'static str = counter.into();
            into[name] = count.load(std::sync::atomic::Ordering::Relaxed).into();
        }
    }
}

/// Lists a daemon's counters and gives them names for `/v1/metrics`.
#[macro_export]
macro_rules! counters {
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($(#[$variant_meta:meta])* $variant:ident),* $(,)? }) => {
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
