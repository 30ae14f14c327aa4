#pragma once

#include "database.h"
#include "http_caller.h"
#include <memory>

namespace plantainwall {

/// Returns a group member reached by JSON over HTTP. credential is sent with every call in place of a caller's key.
std::shared_ptr<Database> makeHttpDatabase(std::shared_ptr<HttpCaller>, std::string_view credential);

} // namespace plantainwall
