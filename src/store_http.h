#pragma once

#include "http_caller.h"
#include "store.h"

namespace plantainwall {

/// Returns a client of the platform's store that uses HTTP with JSON bodies. Tasks fail with CallFailed: NotSent and
/// MaybeSent as reported by the HttpCaller, MaybeSent also for a status of 5xx or a malformed body, Answered for any
/// other unexpected status. The timeout applies to each call; watches add their wait to it.
std::shared_ptr<Store> makeHttpStore(std::shared_ptr<HttpCaller> caller, Duration timeout = std::chrono::seconds(2));

} // namespace plantainwall
