//! Mutations: deliberate defects that show whether the invariant checks detect them (design 10.3). They are
//! part of the simulator only; no program of the product contains them.

/// A deliberate defect. Displayed names are those of earlier versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// Proxies retry a filing like a lookup, although it may have run.
    #[strum(serialize = "filings-go-again")]
    RetriesFilings,
    /// Every rejection reports the request as not run.
    #[strum(serialize = "lies-not-run")]
    ClaimsNotRun,
    /// Proxies do not retry a lookup after a failed attempt.
    #[strum(serialize = "lookups-give-up")]
    NeverRetriesLookups,
    /// Proxies select servers in drained zones.
    #[strum(serialize = "ignores-emptied")]
    IgnoresDrainedZones,
    /// Proxies ignore that servers are draining.
    #[strum(serialize = "ignores-leaving")]
    IgnoresDrainingServers,
    /// A node returns to an earlier configuration after a while.
    #[strum(serialize = "slips-back")]
    RevertsConfig,
    /// Gossip delivers a new configuration only after six seconds.
    #[strum(serialize = "late-word")]
    DelaysConfig,
    /// A restarted server gets its full share of the load at once.
    #[strum(serialize = "floods-cold")]
    SkipsSlowStart,
    /// The retry budget is unlimited, and more servers fail requests.
    UnboundRetries,
    /// The region bounds of rules are dropped.
    ForgetsBounds,
    /// Steering answers are valid for nine seconds.
    #[strum(serialize = "long-receipts")]
    LongSteeringTtl,
    /// Disks report syncs that did not happen.
    #[strum(serialize = "disks-lie")]
    DisksLoseSyncs,
    /// A read returns a byte that was never accepted.
    AltersReads,
    /// Reads return wrong revisions, as if two operators' changes had the same revision.
    WrongRevisions,
    /// Idempotency keys are dropped, so that a submission can be applied twice.
    ForgetsKeys,
    /// The version of a configuration is not compared with earlier versions.
    ForgetsVersions,
    /// Nodes stay down after the last fault.
    StaysDown,
    /// A starting proxy uses the first configuration that it ever had, and does not wait for gossip.
    #[strum(serialize = "starts-stale")]
    StartsFromStaleConfig,
    /// The steering service ignores drained zones.
    #[strum(serialize = "still-steers-there")]
    SteersToDrainedZones,
    /// Some filings are rejected though servers are available.
    RefusesFilings,
    /// Some filings that ran are reported as may-have-run.
    #[strum(serialize = "doubts-filings")]
    ReportsFilingsUnknown,
    /// A registry rejects some operators' calls although it reaches its stores.
    RefusesOperators,
    /// Registries do not validate configurations.
    #[strum(serialize = "takes-invalid")]
    AcceptsInvalidConfigs,
    /// Registries acknowledge drains of evacuations and do not pass them on.
    #[strum(serialize = "loses-drains")]
    LosesDrains,
    /// A zone that was drained several times, for example by a retransmitted call, is restored only by as many
    /// withdrawals.
    #[strum(serialize = "counts-drains")]
    CountsDrains,
    /// Stores carry out orders that newer ones have overtaken.
    #[strum(serialize = "carries-out-late")]
    CarriesOutOvertakenOrders,
    /// Registries send an order that a newer one has overtaken again, as if it was newer.
    ResendsOvertakenOrders,
    /// Registries take an order that they read for one that has just been sent.
    TakesLateOrdersForNew,
    /// The steering service does not respond once faults have begun.
    #[strum(serialize = "directories-stay-down")]
    SteeringStaysDown,
    /// When a request is sent to another server, the attempts in progress are cancelled.
    CutsOffSlowServers,
    /// A starting node uses the first configuration that it receives, without waiting for a read index.
    #[strum(serialize = "no-floor")]
    SkipsReadIndex,
    /// The registry whose name sorts first reads the endpoint list, whether or not it can.
    ReadsListsByName,
    /// Proxies accept keys that no tenant has.
    AcceptsUnknownKeys,
    /// Proxies name another tenant than the one that has the key.
    NamesOtherTenant,
    /// Proxies judge keys by a configuration that may not be the newest one.
    IgnoresConfigLease,
}
