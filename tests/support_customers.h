#pragma once

#include "support_entry_host.h"

namespace plantainwall::test {

/// Longest time from acceptance of a configuration change until it is in force everywhere (docs/design.md, 1.1).
extern const Milliseconds inForceLimit;

/// Returns the configuration revision in force at an entry host; 0 without an answer.
uint64_t revisionInForce(const EntryHost&);

/// Waits until every entry host has the revision in force. Returns whether they did within the limit.
bool inForceEverywhere(Fleet&, uint64_t revision, Milliseconds timeout = inForceLimit);

/// Waits until every entry host has the present configuration of host 0 in force; fails the test if they do not.
void requireInForce(Fleet&);

/// Waits until every entry host answers the request with the code. Returns a description of the first that does not,
/// empty if all do.
std::string everyHostAnswers(Fleet&, const std::string& key, const std::string& statement, const std::string& code,
    Milliseconds timeout = inForceLimit);

/// Waits until all seats of the rate are in use, so that no host depends on loans alone; fails the test if they are
/// not.
void settleRateSlices(Fleet&);

/// Adds the team "gnomes" of service "ledger", served by every entry host. Returns its key.
std::string addSecondTeam(Fleet&);

/// Returns the value of a database key on the primary (member 0); empty if it is absent.
std::string valueInDatabase(Fleet&, const std::string& key);

} // namespace plantainwall::test
