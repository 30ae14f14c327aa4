#include "bench_load.h"
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <csignal>
#include <pplx/threadpool.h>

namespace plantainwall::bench {

namespace {

    using web::http::http_request;
    using web::http::http_response;

    void passOn(web::http::client::http_client& client, const http_request& request)
    {
        http_request forward(request.method());
        forward.set_request_uri(request.request_uri());
        forward.set_body(request.body());
        client.request(forward).then([request](const pplx::task<http_response>& task) {
            try {
                http_response answer(task.get().status_code());
                answer.set_body(task.get().body(), task.get().headers().content_length());
                request.reply(answer);
            } catch (const std::exception&) {
                request.reply(web::http::status_codes::BadGateway);
            }
        });
    }

} // namespace

int serveBareHop(const std::string& address, const std::string& target, unsigned threads)
{
    // Blocked before the pool starts, so that sigwait() below gets the signal.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    crossplat::threadpool::initialize_with_threads(threads);
    web::http::client::http_client client(target);
    web::http::experimental::listener::http_listener listener("http://" + address);
    listener.support([&client](const http_request& request) { passOn(client, request); });
    listener.open().wait();
    int received = 0;
    sigwait(&signals, &received);
    _exit(0); // cpprestsdk's listener can wait for ever for open connections.
}

} // namespace plantainwall::bench
