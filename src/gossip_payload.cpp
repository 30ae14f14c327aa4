#include "gossip_payload.h"
#include <sstream>

namespace plantainwall {

std::string encodeConfigDigest(const ConfigDigest& digest)
{
    return std::to_string(digest.revision) + " " + std::to_string(digest.age.count());
}

std::optional<ConfigDigest> decodeConfigDigest(const std::string& text)
{
    std::istringstream in(text);
    ConfigDigest digest;
    Duration::rep age = 0;
    if (!(in >> digest.revision >> age))
        return std::nullopt;
    digest.age = Duration(age);
    return digest;
}

std::string encodeContactAges(const PrimaryContactAges& ages)
{
    std::string text;
    for (const std::pair<const std::string, Duration>& entry : ages) {
        const int64_t age = std::chrono::duration_cast<std::chrono::milliseconds>(entry.second).count();
        text += (text.empty() ? "" : " ") + entry.first + " " + std::to_string(age);
    }
    return text;
}

PrimaryContactAges decodeContactAges(const std::string& text)
{
    std::istringstream in(text);
    PrimaryContactAges ages;
    std::string group;
    int64_t age = 0;
    while (in >> group >> age)
        ages[group] = std::chrono::milliseconds(age);
    return ages;
}

} // namespace plantainwall
