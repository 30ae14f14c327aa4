#pragma once

#include <cpprest/json.h>
#include <string>

namespace plantainwall {

/// Parses JSON from a caller, database or host. The parser of the JSON library passes on texts that are no UTF-8, and
/// throws something else than json_exception for some escapes.
/// @throws web::json::json_exception if the text is not JSON, or if one of its strings is not Unicode.
web::json::value parseJson(const std::string&);

} // namespace plantainwall
