#pragma once

#include "plantainwall/plantainwall.h"
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <vector>

namespace plantainwall {

class MemoryAccount;

/// What an account holds memory for.
enum class MemoryUse : uint8_t {
    Connection,
    Input, ///< Received and read bytes.
    Unread, ///< Bytes that the kernel holds while reading is paused.
    Statement, ///< The statement that is queued or running, with its copies.
    State, ///< Values and prepared names of a session.
    Output, ///< Unsent answers.
    Reply, ///< Rows of an incomplete reply of a backend server.
    Count
};

/// Divides the memory that a process holds for callers and other hosts, fairly by owner and then by account. Not
/// thread-safe.
///
/// Load pattern: crowds of clients that send or read without keeping to the limits, beside ordinary ones.
class MemoryBudget {
public:
    /// An account that holds no more is small, and served until the whole budget is used.
    static constexpr size_t smallBytes = 16 * 1024;

    /// Time for which an account may stay large under pressure. A message of the largest size takes a fraction of it.
    static constexpr Duration largeLimit = std::chrono::seconds(5);

    /// @param totalBytes Limit of what all accounts together hold.
    explicit MemoryBudget(size_t totalBytes);
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    size_t total() const { return m_total; }
    size_t held() const { return m_held; }

    bool underPressure() const { return m_held >= m_total / 2; }

    /// Returns whether only the reserve for small requests is left.
    bool full() const { return m_held >= fullLevel(); }

    /// Returns whether a further connection may be accepted.
    bool mayAccept() const { return !full(); }

    /// Sets what is called when the budget becomes full, possibly from within MemoryAccount::set().
    void setFullHandler(std::function<void()> handler) { m_fullHandler = std::move(handler); }

    /// Returns the accounts that have to be closed now, in this order. Each call assumes that those returned by earlier
    /// ones are closed.
    std::vector<MemoryAccount*> accountsToClose(Instant now);

private:
    friend class MemoryAccount;

    struct Owner {
        size_t bytes = 0;
        size_t accounts = 0;
        size_t large = 0; ///< Accounts that are not small.
    };
    using Owners = std::map<std::string, Owner, std::less<>>;

    size_t fullLevel() const { return m_total - m_total / 8; }

    /// Returns how much memory a large account may hold under pressure.
    size_t share(const MemoryAccount&) const;
    bool mayGrow(const MemoryAccount&, size_t bytes) const;
    /// Returns whether a server's account holds the most of those, and so may always complete its reply.
    bool isLargestOfServers(const MemoryAccount&) const;
    Owners::iterator join(std::string_view owner);
    void leave(Owners::iterator);
    void add(MemoryAccount&, size_t removed, size_t added);

    const size_t m_total;
    size_t m_held = 0;
    size_t m_state = 0; ///< Part of it that is MemoryUse::State.
    size_t m_largeOwners = 0; ///< Owners with large accounts.
    Owners m_owners;
    std::vector<MemoryAccount*> m_accounts;
    bool m_marked = false; ///< Accounts may have MemoryAccount::m_largeSince set.
    std::function<void()> m_fullHandler;
};

/// What one connection holds. Must not outlive its budget.
class MemoryAccount {
public:
    /// @param close Is called by the user of the budget to close the connection. Without it the account is a backend
    /// server's: it is never closed, and reads until the budget is full. Closing callers' connections makes room for
    /// it.
    MemoryAccount(MemoryBudget&, std::string_view owner, std::function<void()> close);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void setOwner(std::string_view owner);
    std::string_view owner() const { return m_owner->first; }

    size_t held() const { return m_held; }
    size_t held(MemoryUse use) const { return m_uses[static_cast<size_t>(use)]; }
    bool large() const { return m_large; }
    bool ofServer() const { return !close; }

    /// Sets what is held for a use, in bytes, after the fact.
    void set(MemoryUse, size_t bytes);

    /// Sets whether statements of other connections run over this one. It is then closed after all others, and only
    /// when the budget is full: closing it leaves the outcome of their writes unknown.
    void setLends(bool lends) { m_lends = lends; }

    /// Returns how many bytes may be read now, at most those wanted; 0: reading has to pause.
    size_t readAllowance(size_t wanted) const;

    /// Returns whether a statement may start for which this many bytes will be held.
    bool mayRun(size_t bytes) const { return m_budget.mayGrow(*this, bytes); }

    /// Returns the most that one session may hold for MemoryUse::State.
    size_t stateLimit() const;

    /// Returns whether this many bytes in place of the present ones may be held for MemoryUse::State.
    bool mayKeep(size_t bytes) const;

    std::function<void()> close;

private:
    friend class MemoryBudget;

    /// Returns what decides whether the account is large. Unread bytes are not part of it, as they are the budget's
    /// doing.
    size_t size() const { return m_held - std::min(m_held, held(MemoryUse::Unread)); }

    MemoryBudget& m_budget;
    MemoryBudget::Owners::iterator m_owner;
    size_t m_index = 0; ///< In MemoryBudget::m_accounts.
    std::array<size_t, static_cast<size_t>(MemoryUse::Count)> m_uses {};
    size_t m_held = 0;
    Instant m_largeSince; ///< Zero: not large when last looked at.
    bool m_large = false;
    bool m_lends = false;
    bool m_closing = false;
};

} // namespace plantainwall
