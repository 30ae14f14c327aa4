#include "log_event.h"

namespace plantainwall {

namespace {

    constexpr LogEventInfo logEvents[] = {
        { 0, "started", LogLevel::Info, "The process has started." },
        { 1, "stopped", LogLevel::Info, "The process is stopping." },
        { 2, "listening", LogLevel::Info, "A listener accepts connections." },
        { 3, "settings_invalid", LogLevel::Error, "The settings file has a fault." },
        { 4, "configuration_in_force", LogLevel::Info, "A newer revision of the configuration is in force here." },
        { 5, "configuration_rejected", LogLevel::Warn, "A configuration value does not match its schema." },
        { 6, "configuration_changed", LogLevel::Info, "An operator's change was accepted by the store." },
        { 7, "store_unreachable", LogLevel::Warn, "The store does not answer; the configuration ages." },
        { 8, "store_reachable", LogLevel::Info, "The store answers again." },
        { 9, "primary_unreachable", LogLevel::Warn, "The primary of a group cannot be reached from here." },
        { 10, "fence_started", LogLevel::Warn, "This host requests a new term from the members of a group." },
        { 11, "fence_granted", LogLevel::Info, "A member granted the new term." },
        { 12, "fence_refused", LogLevel::Info, "A member refused the new term." },
        { 13, "primary_promoted", LogLevel::Warn, "This host promoted a member to primary." },
        { 14, "primary_changed", LogLevel::Info, "The primary of a group is another member or has a new term." },
        { 15, "write_outcome_unknown", LogLevel::Warn, "A write was answered without knowing whether it took effect.",
            true },
        { 16, "owner_gained", LogLevel::Info, "This host became the owner of a member." },
        { 17, "owner_lost", LogLevel::Info, "This host is no longer the owner of a member." },
        { 18, "host_suspect", LogLevel::Warn, "An entry host does not answer and is assigned no roles." },
        { 19, "host_dead", LogLevel::Warn, "An entry host is considered dead." },
        { 20, "host_joined", LogLevel::Info, "An entry host was added or answers again." },
        { 21, "seat_claimed", LogLevel::Info, "This host holds a slice of the customers' rates." },
        { 22, "seat_lost", LogLevel::Warn, "This host lost a rate slice or could not renew its lease." },
        { 23, "key_withdrawn", LogLevel::Info, "A key was withdrawn and is refused from now on." },
        { 24, "request_refused", LogLevel::Debug, "A request was refused; the field code names the reason.", true },
        { 25, "connection_limit_reached", LogLevel::Warn, "A connection was refused because of a limit." },
        { 26, "connection_replaced", LogLevel::Warn, "A silent connection was closed and replaced." },
        { 27, "backend_leaving", LogLevel::Info, "A backend server is leaving and receives no new requests." },
        { 28, "drain_started", LogLevel::Info, "The graceful shutdown has started." },
        { 29, "drain_finished", LogLevel::Info, "The graceful shutdown is complete." },
        { 30, "peer_authentication_failed", LogLevel::Warn, "A message between entry hosts has no valid signature." },
        { 31, "bad_request", LogLevel::Debug, "A request could not be parsed." },
        { 32, "internal_failure", LogLevel::Error, "An unexpected failure; the message says where." },
        { 33, "session_refused", LogLevel::Info, "A caller's session was refused; the field code names the reason.",
            true },
        { 34, "statement_refused", LogLevel::Info, "A statement was refused without having been run.", true },
        { 35, "statement_served", LogLevel::Info, "A statement was answered by a backend server." },
        { 36, "statement_moved", LogLevel::Info,
            "A statement was moved to another server because the first one cannot serve it or is late." },
        { 37, "statement_failed", LogLevel::Warn,
            "A statement was answered with an error of a backend server or ran out of time.", true },
        { 38, "transaction_failed", LogLevel::Info, "An open transaction was rolled back.", true },
        { 39, "server_registered", LogLevel::Info, "A backend server was registered." },
        { 40, "server_removed", LogLevel::Info, "A backend server was removed." },
        { 41, "server_connection_lost", LogLevel::Info, "A connection to a backend server ended while it was in use." },
        { 42, "store_item_rejected", LogLevel::Warn,
            "An item of the store, or one entry of it, has no valid value and is ignored." },
        { 43, "duty_gained", LogLevel::Info, "This host has become the promotion coordinator." },
        { 44, "duty_lost", LogLevel::Info, "This host is no longer the promotion coordinator." },
        { 45, "failover_step", LogLevel::Warn, "A step of a failover to a new primary." },
        { 46, "promotion_answered", LogLevel::Warn, "A promotion request was answered or has timed out." },
        { 47, "settings_reloaded", LogLevel::Info, "The settings file was read again." },
        { 48, "peer_heard", LogLevel::Info, "Another entry host has started to report to this one." },
        { 49, "peer_silent", LogLevel::Warn,
            "An entry host does not answer; the field reason names the expected message." },
        { 50, "lines_dropped", LogLevel::Warn, "Log lines were dropped because they came too fast or were not read." },
        { 51, "store_source_changed", LogLevel::Info,
            "The host's source of store changes is a different one: its own watch, a watch shared with other hosts, or "
            "another host." },
        { 52, "failover_server", LogLevel::Warn,
            "State of one server of a service when a failover promotes a server or gives up." },
        { 53, "failover_blocked", LogLevel::Warn,
            "No server can be promoted yet: the named server's log may hold acknowledged commits that others lack." },
        { 54, "store_restored", LogLevel::Warn,
            "The store has a newer era or an older revision than before: it was restored from a copy." },
        { 55, "relay_era_differs", LogLevel::Info,
            "Another host relayed changes of the store from a different era than the one known here." },
        { 56, "configuration_not_applied", LogLevel::Info,
            "A configuration was read from the store but not put in force; the field reason says why." },
        { 57, "server_probed", LogLevel::Warn,
            "Other hosts have probed a server without a registration that does not answer the promotion coordinator; "
            "the fields name those that it answers and those that it does not." },
        { 58, "listing_relayed", LogLevel::Info,
            "A complete listing of the store came from another host, because the store does not answer this one." },
        { 59, "duty_claim_outdated", LogLevel::Warn,
            "The promotion coordinator's item is a claim from an earlier era of the store; it is replaced after a "
            "lease." },
        { 60, "primary_record_changed", LogLevel::Info,
            "The record of the servers that may lead has changed; leases on the word of other servers have ended." },
        { 61, "commit_not_confirmed", LogLevel::Warn,
            "A server reported a commit while no lease on its word was held, while it was being replaced, or while "
            "this "
            "host was out of contact with the fleet, so the caller was told that the outcome is unknown." },
        { 62, "changes_dropped", LogLevel::Warn,
            "This host no longer keeps a change of the store for others; hosts that lack it read the store." },
        { 63, "primary_revoked", LogLevel::Warn,
            "A primary is being replaced: hosts send it no more writes, and acknowledge no commit of it if the "
            "field scope is all_commits, until the revocation is withdrawn or ends." },
        { 64, "revocation_in_force", LogLevel::Warn,
            "All hosts know that a primary is being replaced; the fields count the hosts that were not waited for "
            "any longer." },
        { 65, "reply_unexpected", LogLevel::Warn,
            "A server sent a reply that does not fit the command to which it would belong in order, or one to no "
            "command; servers may send a reply twice." },
        { 66, "answer_unexpected", LogLevel::Warn,
            "An HTTP answer arrived that belongs to no call, or to an earlier one; its connection is not used again. "
            "The field call names the path of the call that it could have been taken for." },
        { 67, "connection_sharing_changed", LogLevel::Info,
            "Hosts begin or cease to lend each other connections, because servers allow few connections for the number "
            "of hosts; the field smallest_limit is the lowest limit of a service." },
        { 68, "server_load", LogLevel::Info,
            "What this host knows of the load of a server from the reports of all hosts has changed; at most once a "
            "second for each server." },
        { 69, "evacuation_started", LogLevel::Warn,
            "The servers of a data centre get no more statements; the field reason says how this host learned of it." },
        { 70, "evacuation_ended", LogLevel::Warn,
            "The servers of a data centre get statements again; the field reason says why." },
        { 71, "admission_level_changed", LogLevel::Warn,
            "Another number of priorities is turned away from a backend server, from the least urgent." },
        { 72, "caller_closed_for_memory", LogLevel::Warn,
            "A connection of a caller or another host was closed because of what it held in memory; the field reason "
            "says why, and bytes how much." },
        { 73, "connection_ended_for_room", LogLevel::Warn,
            "A connection that was not in use was closed to make room for a new one; the field port says where." },
        { 74, "message_unreadable", LogLevel::Warn,
            "A message of a backend server could not be read; the fields tell why, its length, and how many CR and LF "
            "it "
            "holds." },
        { 75, "caller_message_unreadable", LogLevel::Info,
            "A message of a caller could not be read; the fields tell why, its length, and how many CR and LF it "
            "holds." },
        { 76, "fleet_contact_lost", LogLevel::Warn,
            "This host has heard neither another host nor the store, so it may not know that a primary is being "
            "replaced: "
            "it refuses writes and acknowledges no commits." },
        { 77, "fleet_contact_regained", LogLevel::Warn,
            "This host hears another host or the store again and serves writes." },
    };
    static_assert(sizeof(logEvents) / sizeof(logEvents[0]) == static_cast<size_t>(LogEvent::Count),
        "one entry for each LogEvent");

    constexpr bool numbersMatchPositions()
    {
        for (unsigned i = 0; i < static_cast<unsigned>(LogEvent::Count); ++i) {
            if (logEvents[i].number != i)
                return false;
        }
        return true;
    }
    static_assert(numbersMatchPositions(), "the numbers are the positions in LogEvent");

    constexpr std::string_view levelNames[] = { "debug", "info", "warn", "error" };
    static_assert(sizeof(levelNames) / sizeof(levelNames[0]) == static_cast<size_t>(LogLevel::Count),
        "one entry for each LogLevel");

} // namespace

const LogEventInfo& logEventInfo(LogEvent event) { return logEvents[static_cast<size_t>(event)]; }

std::optional<LogEvent> logEventFromName(std::string_view name)
{
    for (unsigned i = 0; i < static_cast<unsigned>(LogEvent::Count); ++i) {
        if (logEvents[i].name == name)
            return static_cast<LogEvent>(i);
    }
    return std::nullopt;
}

std::string_view logLevelName(LogLevel level) { return levelNames[static_cast<size_t>(level)]; }

} // namespace plantainwall
