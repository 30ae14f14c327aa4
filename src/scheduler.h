#pragma once

#include "plantainwall/plantainwall.h"
#include <functional>
#include <memory>

namespace plantainwall {

/// Runs functions after a delay. Safe to call from any thread.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /// Runs task once, no earlier than delay from now, on the scheduler's thread. The task must not block.
    virtual void schedule(Duration delay, std::function<void()> task) = 0;
};

/// Returns a scheduler with one thread of its own; pending tasks are dropped when it is destroyed.
std::shared_ptr<Scheduler> makeScheduler();

} // namespace plantainwall
