#include "database_standin_log.h"
#include <algorithm>
#include <stdexcept>

namespace plantainwall {

namespace {

    const std::chrono::minutes outcomeLifetime(10);

    struct StatementForm {
        const char* verb;
        bool hasText;
        bool hasNumber;
        bool hasKey;
    };

    const StatementForm statementForms[] = {
        { "GET", false, false, true },
        { "PUT", true, false, true },
        { "ADD", false, true, true },
        { "APPEND", true, false, true },
        { "DELETE", false, false, true },
        { "SLEEP", false, true, false },
    };
    static_assert(std::size(statementForms) == static_cast<size_t>(StatementKind::Count));

    int64_t parseNumber(const std::string& text)
    {
        size_t used = 0;
        int64_t number = 0;
        try {
            number = std::stoll(text, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        if (text.empty() || used != text.size())
            throw std::invalid_argument("\"" + text + "\" is not an integer");
        return number;
    }

    std::string takeWord(std::string& rest)
    {
        const size_t space = rest.find(' ');
        std::string word = rest.substr(0, space);
        rest = space == std::string::npos ? std::string() : rest.substr(space + 1);
        return word;
    }

} // namespace

void MemberLog::append(LogEntryPtr entry)
{
    dropOldOutcomes(entry->arrived);
    if (!entry->requestId.empty())
        m_outcomes[entry->requestId] = entry;
    m_entries.push_back(std::move(entry));
}

void MemberLog::truncate(uint64_t position)
{
    while (m_entries.size() > position) {
        m_outcomes.erase(m_entries.back()->requestId);
        m_entries.pop_back();
    }
    m_outcomesFrom = std::min<uint64_t>(m_outcomesFrom, m_entries.size() + 1);
}

LogEntryPtr MemberLog::outcome(const std::string& requestId) const
{
    const std::unordered_map<std::string, LogEntryPtr>::const_iterator it = m_outcomes.find(requestId);
    if (it == m_outcomes.end() || it->second->arrived + outcomeLifetime < std::chrono::steady_clock::now())
        return nullptr;
    return it->second;
}

void MemberLog::dropOldOutcomes(SteadyTime now)
{
    for (; m_outcomesFrom <= m_entries.size() && at(m_outcomesFrom)->arrived + outcomeLifetime < now;
         ++m_outcomesFrom) {
        const std::unordered_map<std::string, LogEntryPtr>::iterator it
            = m_outcomes.find(at(m_outcomesFrom)->requestId);
        if (it != m_outcomes.end() && it->second->position == m_outcomesFrom)
            m_outcomes.erase(it);
    }
}

void applyEntry(KeyValues& values, const LogEntry& entry)
{
    for (const Write& write : entry.writes) {
        if (write.newValue)
            values[write.key] = *write.newValue;
        else
            values.erase(write.key);
    }
}

Statement parseStatement(const std::string& line)
{
    std::string rest = line;
    const std::string verb = takeWord(rest);
    for (size_t i = 0; i < std::size(statementForms); ++i) {
        const StatementForm& form = statementForms[i];
        if (verb != form.verb)
            continue;
        Statement statement;
        statement.kind = static_cast<StatementKind>(i);
        if (form.hasKey)
            statement.key = takeWord(rest);
        if (form.hasKey && statement.key.empty())
            throw std::invalid_argument("statement \"" + line + "\" names no key");
        if (form.hasNumber)
            statement.number = parseNumber(rest);
        else if (form.hasText)
            statement.text = rest;
        else if (!rest.empty())
            throw std::invalid_argument("statement \"" + line + "\" has too many words");
        return statement;
    }
    throw std::invalid_argument("unknown statement \"" + line + "\"");
}

std::optional<std::string> ValueView::get(const std::string& key) const
{
    const std::map<std::string, std::optional<std::string>>::const_iterator own = m_written.find(key);
    if (own != m_written.end())
        return own->second;
    const KeyValues::const_iterator it = m_base.find(key);
    return it == m_base.end() ? std::optional<std::string>() : it->second;
}

std::optional<std::string> ValueView::run(const Statement& statement)
{
    switch (statement.kind) {
    case StatementKind::Get:
        return get(statement.key);
    case StatementKind::Put:
        m_written[statement.key] = statement.text;
        return {};
    case StatementKind::Add:
        return m_written[statement.key]
            = std::to_string(parseNumber(get(statement.key).value_or("0")) + statement.number);
    case StatementKind::Append: {
        const std::string before = get(statement.key).value_or("");
        m_written[statement.key] = before + statement.text;
        return {};
    }
    case StatementKind::Delete:
        m_written[statement.key].reset();
        return {};
    default:
        return {};
    }
}

std::vector<Write> ValueView::writes() const
{
    std::vector<Write> result;
    for (const std::pair<const std::string, std::optional<std::string>>& write : m_written)
        result.push_back({ write.first, write.second });
    return result;
}

} // namespace plantainwall
