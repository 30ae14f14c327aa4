#include "database_standin_journal.h"
#include "database_standin_member.h"
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace plantainwall {

MemberJournal::MemberJournal(const std::string& path)
    : m_path(path)
{
    if (path.empty())
        return;
    m_file = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (m_file < 0)
        throw std::runtime_error("cannot open \"" + path + "\": " + std::strerror(errno));
    write({}); // ends a line that the last run left incomplete
}

TermState MemberJournal::load(MemberLog& log) const
{
    TermState state;
    std::ifstream file(m_path);
    for (std::string line; std::getline(file, line);) {
        std::error_code ec;
        const value record = line.empty() ? value() : value::parse(line, ec);
        if (ec || !record.is_object())
            continue;
        if (record.has_field("entry"))
            log.append(entryFromJson(record.at("entry")));
        else if (record.has_field("truncate"))
            log.truncate(integerField(record, "truncate"));
        else
            state = { integerField(record, "term"), stringField(record, "candidate"), stringField(record, "primary") };
    }
    return state;
}

void MemberJournal::saveTerm(const TermState& state)
{
    if (m_file < 0 || state == m_saved)
        return;
    m_saved = state;
    write(makeObject({ { "term", state.term }, { "candidate", value::string(state.candidate) },
                         { "primary", value::string(state.primary) } })
              .serialize());
}

void MemberJournal::append(const LogEntry& entry)
{
    if (m_file >= 0)
        write(makeObject({ { "entry", entryToJson(entry) } }).serialize());
}

void MemberJournal::truncate(uint64_t position)
{
    if (m_file >= 0)
        write(makeObject({ { "truncate", position } }).serialize());
}

void MemberJournal::write(std::string line) const
{
    line += '\n';
    if (::write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("cannot write \"" + m_path + "\"");
}

} // namespace plantainwall
