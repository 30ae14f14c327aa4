#pragma once

#include "database.h"
#include "http_caller.h"
#include <memory>

namespace plantainwall {

/// Returns a client of a group member that uses JSON over HTTP.
/// @param credential Sent with every call instead of a caller's key.
std::shared_ptr<Database> makeHttpDatabase(std::shared_ptr<HttpCaller>, std::string_view credential);

} // namespace plantainwall
