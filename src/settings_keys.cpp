#include "settings_keys.h"

namespace plantainwall {

namespace {

    using Kind = SettingKind;

    constexpr double millisecond = 1e3;
    constexpr double second = 1e6;
    constexpr double minute = 60 * second;
    constexpr double hour = 60 * minute;
    constexpr double kibibyte = 1024;
    constexpr double mebibyte = 1024 * kibibyte;
    constexpr double pebibyte = 1024.0 * 1024 * 1024 * mebibyte;
    constexpr double maxText = 4096;
    constexpr double maxName = 64;

    using Keys = std::vector<SettingKey>;

    void appendHost(Keys& keys, Settings& s)
    {
        const Keys host {
            { "host", "name", Kind::Name, &s.host, 1, maxName, true, "Name of this entry host." },
            { "host", "data_centre", Kind::Name, &s.dataCentre, 1, maxName, true, "Data centre of this entry host." },
            { "host", "region", Kind::Name, &s.region, 1, maxName, true, "Region of the data centre." },
            { "host", "listen", Kind::Endpoint, EndpointTarget { &s.listenAddress, &s.listenPort }, 0, 0, true,
                "Address and port for callers and operators." },
            { "host", "peer_listen", Kind::Endpoint, EndpointTarget { nullptr, &s.peerPort }, 0, 0, true,
                "Address and port for other entry hosts; the address is that of host.listen." },
            { "host", "store", Kind::Url, &s.storeAddress, 1, maxText, true, "Address of the platform's store." },
            { "host", "seed_peers", Kind::EndpointList, &s.seedPeers, 0, 64, false,
                "Peers asked before the platform's list is known." },
            { "host", "peer_secret", Kind::Text, &s.peerSecret, 32, maxText, true,
                "Secret shared by all entry hosts; authenticates messages between them." },
            { "host", "backend_credential", Kind::HeaderValue, &s.backendCredential, 0, maxText, false,
                "Sent to backend servers in place of a caller's key." },
            { "host", "threads", Kind::Integer, &s.threads, 1, 256, false, "Threads that run requests." },
            { "operator", "bootstrap_digest", Kind::Digest, &s.bootstrapOperatorDigest, 0, 64, false,
                "BLAKE2b-256 digest of the first operator's credential." },
            { "log", "level", Kind::LogLevel, &s.logLevel, 0, 0, false, "Lowest level that is written." },
            { "log", "format", Kind::LogFormat, &s.logFormat, 0, 0, false, "Form of a log line." },
            { "trace", "file", Kind::Text, &s.traceFile, 0, maxText, false,
                "File for Zipkin spans; empty: no spans are written." },
        };
        keys.insert(keys.end(), host.begin(), host.end());
    }

    void appendHttp(Keys& keys, HttpSettings& s)
    {
        const Keys http {
            { "http", "max_head", Kind::Bytes, &s.maxHeadBytes, kibibyte, mebibyte, false,
                "Largest request line and headers." },
            { "http", "max_body", Kind::Bytes, &s.maxBodyBytes, kibibyte, 64 * mebibyte, false, "Largest body." },
            { "http", "head_timeout", Kind::Duration, &s.headTimeout, 100 * millisecond, 5 * minute, false,
                "Time for the head to arrive." },
            { "http", "body_timeout", Kind::Duration, &s.bodyTimeout, 100 * millisecond, 5 * minute, false,
                "Time for the body to arrive." },
            { "http", "idle_timeout", Kind::Duration, &s.idleTimeout, second, hour, false,
                "Time after which a connection without a request is closed." },
            { "http", "max_connections", Kind::Integer, &s.maxConnections, 1, 1e6, false,
                "Open connections of callers." },
            { "http", "max_connections_per_address", Kind::Integer, &s.maxConnectionsPerAddress, 1, 1e6, false,
                "Open connections from one address." },
            { "http", "memory", Kind::Bytes, &s.memoryBytes, 0, pebibyte, false,
                "Memory of the machine, half of which is for requests; 0: as the system reports it." },
        };
        keys.insert(keys.end(), http.begin(), http.end());
    }

    void appendRequest(Keys& keys, RequestSettings& s)
    {
        const Keys request {
            { "request", "default_deadline", Kind::Duration, &s.defaultDeadline, 10 * millisecond, hour, false,
                "Deadline of a request that names none." },
            { "request", "max_deadline", Kind::Duration, &s.maxDeadline, 10 * millisecond, hour, false,
                "Longest deadline; a longer one is shortened to it." },
            { "request", "min_remaining", Kind::Duration, &s.minRemaining, 0, second, false,
                "A hop refuses a request with less time left." },
            { "request", "retry_budget_ratio", Kind::Number, &s.retryBudgetRatio, 0, 1, false,
                "Retries allowed per first attempt." },
            { "request", "retry_budget_min_per_second", Kind::Number, &s.retryBudgetMinPerSecond, 0, 1000, false,
                "Retries per second allowed at any load." },
        };
        keys.insert(keys.end(), request.begin(), request.end());
    }

    void appendGroup(Keys& keys, GroupSettings& s)
    {
        const Keys group {
            { "group", "probe_interval", Kind::Duration, &s.probeInterval, 10 * millisecond, minute, false,
                "Time between two status calls to a database." },
            { "group", "probe_timeout", Kind::Duration, &s.probeTimeout, 10 * millisecond, minute, false,
                "Time after which a status call has failed." },
            { "group", "primary_unreachable", Kind::Duration, &s.primaryUnreachable, 100 * millisecond, hour, false,
                "Time without contact to the primary before a promotion is considered." },
            { "group", "primary_silence", Kind::Duration, &s.primarySilence, 100 * millisecond, hour, false,
                "Silence of the primary that a majority of members must report." },
            { "group", "unreachable_by_all_owners", Kind::Duration, &s.unreachableByAllOwners, 100 * millisecond, hour,
                false,
                "Time without contact of any owner after which a primary is replaced although replicas hear it." },
            { "group", "candidate_stagger", Kind::Duration, &s.candidateStagger, 10 * millisecond, minute, false,
                "Delay of each further candidate for a promotion." },
            { "group", "fence_timeout", Kind::Duration, &s.fenceTimeout, 10 * millisecond, minute, false,
                "Time to wait for answers to a fence." },
        };
        keys.insert(keys.end(), group.begin(), group.end());
    }

    void appendMembership(Keys& keys, MembershipSettings& s)
    {
        const Keys membership {
            { "membership", "gossip_interval", Kind::Duration, &s.gossipInterval, 50 * millisecond, minute, false,
                "Time between two gossip rounds." },
            { "membership", "gossip_fanout", Kind::Integer, &s.gossipFanout, 1, 16, false, "Peers of one round." },
            { "membership", "suspect_after", Kind::Duration, &s.suspectAfter, 100 * millisecond, hour, false,
                "Silence after which a host gets no duties." },
            { "membership", "dead_after", Kind::Duration, &s.deadAfter, 100 * millisecond, hour, false,
                "Silence after which a host counts as dead." },
        };
        keys.insert(keys.end(), membership.begin(), membership.end());
    }

    void appendLimit(Keys& keys, LimitSettings& s)
    {
        const Keys limit {
            { "limit", "seats", Kind::Integer, &s.rateSlices, 1, 4096, false,
                "Seats of the fleet; equal on all hosts." },
            { "limit", "seat_lease", Kind::Duration, &s.rateSliceLease, second, hour, false, "Lease of a seat." },
            { "limit", "seat_renewal", Kind::Duration, &s.rateSliceRenewal, 100 * millisecond, hour, false,
                "Time between two renewals of a lease." },
            { "limit", "unconditional_part", Kind::Number, &s.unconditionalFraction, 0, 1, false,
                "Part of a seat that stays with its last holder until it is confirmed gone." },
            { "limit", "loan_lease", Kind::Duration, &s.loanLease, 100 * millisecond, minute, false,
                "Expiry of a loan." },
            { "limit", "max_loan_wait", Kind::Duration, &s.maxLoanWait, 0, second, false,
                "Longest wait of a request for a loan." },
        };
        keys.insert(keys.end(), limit.begin(), limit.end());
    }

    void appendQueue(Keys& keys, QueueSettings& s)
    {
        const Keys queue {
            { "queue", "max_queued_per_customer", Kind::Integer, &s.maxQueuedPerCustomer, 1, 1e5, false,
                "Requests of one customer queued at one database." },
            { "queue", "initial_cost", Kind::Duration, &s.initialCost, millisecond / 10, minute, false,
                "Database time assumed for a customer's first request." },
        };
        keys.insert(keys.end(), queue.begin(), queue.end());
    }

} // namespace

std::vector<SettingKey> settingKeys(Settings& settings)
{
    Keys keys;
    appendHost(keys, settings);
    appendHttp(keys, settings.http);
    appendRequest(keys, settings.request);
    appendGroup(keys, settings.group);
    appendMembership(keys, settings.membership);
    appendLimit(keys, settings.limit);
    appendQueue(keys, settings.queue);
    return keys;
}

} // namespace plantainwall
