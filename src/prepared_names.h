#pragma once

#include "statement.h"
#include <map>
#include <optional>

namespace plantainwall {

/// Names of the prepared statements on one connection to a backend server; sessions with the same shape share one.
///
/// Load pattern: hundreds of sessions that prepare shapes of their own, as any text, under the same few names. A name
/// is a number, so that no shape can be a part of another's name. It is given once for as long as a host uses the
/// connection, so that it stands for one shape even where the server has kept what was taken for dropped.
class PreparedNames {
public:
    /// Returns a name that is as long as any.
    static std::string longest() { return nameOf(UINT32_MAX); }

    /// Returns the name under which a shape is prepared, or nothing if it is not.
    std::optional<std::string> find(const PreparedShape& shape) const
    {
        const auto it = m_numbers.find({ shape.writes, shape.shape });
        return it == m_numbers.end() ? std::nullopt : std::make_optional(nameOf(it->second));
    }

    /// Returns a new name, under which the caller prepares the shape.
    std::string add(const PreparedShape& shape)
    {
        m_numbers[{ shape.writes, shape.shape }] = ++m_last;
        m_bytes += shape.shape.size() + entryBytes;
        m_heldBytes += shape.shape.size() + entryBytes;
        return nameOf(m_last);
    }

    /// Returns a new name that stays unknown to the server.
    std::string unknown() { return nameOf(++m_last); }

    /// Must be called when the server may have dropped names. Those that it has not stay prepared there, unused.
    void forget()
    {
        m_numbers.clear();
        m_heldBytes = 0;
    }

    /// Must be called when the server drops all names.
    void reset()
    {
        forget();
        m_bytes = 0;
    }

    /// Returns the memory of all that was prepared since the last reset(), in bytes.
    size_t bytes() const { return m_bytes; }

    /// Returns the memory of the shapes that are known here, in bytes.
    size_t heldBytes() const { return m_heldBytes; }

private:
    /// Memory of a prepared name beside its shape, in bytes.
    static constexpr size_t entryBytes = 64;

    static std::string nameOf(uint32_t number) { return "p" + std::to_string(number); }

    std::map<std::pair<bool, std::string>, uint32_t> m_numbers; ///< By whether the statement writes, and shape.
    uint32_t m_last = 0;
    size_t m_bytes = 0;
    size_t m_heldBytes = 0;
};

} // namespace plantainwall
