#include "scheduler.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace plantainwall {

namespace {

    class ThreadScheduler final : public Scheduler {
    public:
        ThreadScheduler()
            : m_thread([this] { run(); })
        {
        }

        ~ThreadScheduler() override
        {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_stopping = true;
            }
            m_wakeup.notify_one();
            if (m_thread.get_id() == std::this_thread::get_id())
                m_thread.detach();
            else
                m_thread.join();
        }

        void schedule(Duration delay, std::function<void()> task) override
        {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_tasks.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
            }
            m_wakeup.notify_one();
        }

    private:
        void run()
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            while (!m_stopping) {
                if (m_tasks.empty()) {
                    m_wakeup.wait(lock);
                    continue;
                }
                const std::chrono::steady_clock::time_point due = m_tasks.begin()->first;
                if (due > std::chrono::steady_clock::now()) {
                    m_wakeup.wait_until(lock, due);
                    continue;
                }
                std::function<void()> task = std::move(m_tasks.begin()->second);
                m_tasks.erase(m_tasks.begin());
                lock.unlock();
                task();
                task = nullptr;
                lock.lock();
            }
        }

        std::mutex m_mutex;
        std::condition_variable m_wakeup;
        std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_tasks;
        bool m_stopping = false;
        std::thread m_thread;
    };

} // namespace

std::shared_ptr<Scheduler> makeScheduler() { return std::make_shared<ThreadScheduler>(); }

} // namespace plantainwall
