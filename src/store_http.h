#pragma once

#include "http_caller.h"
#include "store.h"

namespace plantainwall {

/// The platform's store over HTTP with JSON bodies. Tasks fail with CallFailed: NotSent and MaybeSent as the caller
/// reports them, MaybeSent also for a status of 5xx and a malformed body, Answered for any other unexpected status.
std::shared_ptr<Store> makeHttpStore(std::shared_ptr<HttpCaller> caller, Duration timeout = std::chrono::seconds(2));

} // namespace plantainwall
