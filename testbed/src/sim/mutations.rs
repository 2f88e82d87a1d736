//! Mutations: ways to break the product on purpose, which show that the invariant checks notice it
//! (design 10.3). They live in the simulator's shells alone; no program has them.

/// A way to break the product. The names on the command line are those of earlier versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// A filing is retried like a lookup after it may have run.
    #[strum(serialize = "filings-go-again")]
    RetriesFilings,
    /// Every rejection claims that the request did not run.
    #[strum(serialize = "lies-not-run")]
    ClaimsNotRun,
    /// The first failed attempt of a lookup ends it.
    #[strum(serialize = "lookups-give-up")]
    NeverRetriesLookups,
    /// Proxies select servers in drained zones.
    #[strum(serialize = "ignores-emptied")]
    IgnoresDrainedZones,
    /// Proxies do not see that servers are draining.
    #[strum(serialize = "ignores-leaving")]
    IgnoresDrainingServers,
    /// A node goes back to an earlier configuration after a while.
    #[strum(serialize = "slips-back")]
    RevertsConfig,
    /// Gossip brings a new configuration only after six seconds.
    #[strum(serialize = "late-word")]
    DelaysConfig,
    /// A server that comes back gets its full share at once.
    #[strum(serialize = "floods-cold")]
    SkipsSlowStart,
    /// The retry budget has no bound, and servers misbehave.
    UnboundRetries,
    /// The region bounds of rules are dropped.
    ForgetsBounds,
    /// Steering answers are valid for nine seconds.
    #[strum(serialize = "long-receipts")]
    LongSteeringTtl,
    /// Disks report a sync that did not happen.
    #[strum(serialize = "disks-lie")]
    DisksLoseSyncs,
    /// A read shows a byte that was never accepted.
    AltersReads,
    /// Two operators' changes get one revision: a reader gets the wrong number.
    WrongRevisions,
    /// A submission is applied twice: idempotency keys are dropped.
    ForgetsKeys,
    /// The version that a configuration names is not compared.
    ForgetsVersions,
    /// Nodes stay down after the last fault.
    StaysDown,
    /// A proxy that starts uses the first configuration it ever saw and does not wait for gossip.
    #[strum(serialize = "starts-stale")]
    StartsFromStaleConfig,
    /// The steering service knows of no drained zone.
    #[strum(serialize = "still-steers-there")]
    SteersToDrainedZones,
    /// Some filings are rejected though servers are available.
    RefusesFilings,
    /// Some filings that ran are reported as may-have-run.
    #[strum(serialize = "doubts-filings")]
    ReportsFilingsUnknown,
    /// Some operators' calls are rejected by a registry that reaches its stores.
    RefusesOperators,
    /// Registries do not validate configurations.
    #[strum(serialize = "takes-invalid")]
    AcceptsInvalidConfigs,
    /// A call to drain a zone that is drained already changes nothing.
    #[strum(serialize = "one-order-for-all")]
    MergesDrains,
    /// A call without a key that is sent again counts once more.
    #[strum(serialize = "counts-sent-again")]
    CountsRetransmissions,
    /// The steering service gives no answers once faults have begun.
    #[strum(serialize = "directories-stay-down")]
    SteeringStaysDown,
    /// A request that is sent to another server is cut off at those that have it.
    CutsOffSlowServers,
    /// A node that starts uses whatever configuration it hears of first, without a read index.
    #[strum(serialize = "no-floor")]
    SkipsReadIndex,
}
