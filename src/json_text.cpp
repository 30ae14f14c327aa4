#include "json_text.h"
#include "text_escape.h"
#include <algorithm>

namespace plantainwall {

namespace {

    using web::json::value;

    bool isUnicode(const value& json)
    {
        if (json.is_string())
            return isUtf8(json.as_string());
        if (json.is_array()) {
            const web::json::array& items = json.as_array();
            return std::all_of(items.begin(), items.end(), isUnicode);
        }
        if (!json.is_object())
            return true;
        const web::json::object& fields = json.as_object();
        return std::all_of(fields.begin(), fields.end(),
            [](const std::pair<std::string, value>& field) { return isUtf8(field.first) && isUnicode(field.second); });
    }

} // namespace

value parseJson(const std::string& text)
{
    value json;
    try {
        json = value::parse(text);
    } catch (const std::range_error&) {
        throw web::json::json_exception("an escaped surrogate is not one of a pair");
    }
    if (!isUnicode(json))
        throw web::json::json_exception("a string is not Unicode");
    return json;
}

} // namespace plantainwall
