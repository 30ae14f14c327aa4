#include "http_glue.h"
#include <algorithm>
#include <cctype>

namespace plantainwall {

namespace {

    using web::http::experimental::listener::http_listener;

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); });
        return text;
    }

} // namespace

pplx::task<CallerHttpRequest> readHttpRequest(web::http::http_request request)
{
    CallerHttpRequest result;
    result.method = request.method();
    result.path = request.request_uri().path();
    result.query = request.request_uri().query();
    for (const std::pair<const std::string, std::string>& header : request.headers())
        result.headers[lowerCase(header.first)] = header.second;
    return request.extract_string(true).then([result = std::move(result)](const std::string& body) mutable {
        result.body = body;
        return result;
    });
}

void replyTo(const web::http::http_request& request, const CallerHttpAnswer& answer)
{
    web::http::http_response response(static_cast<web::http::status_code>(answer.status));
    std::string contentType = "application/json";
    for (const std::pair<const std::string, std::string>& header : answer.headers) {
        if (header.first == "Content-Type")
            contentType = header.second;
        else
            response.headers().add(header.first, header.second);
    }
    response.set_body(answer.body, contentType);
    request.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the caller has disconnected
        }
    });
}

CallerHttpAnswer errorAnswer(ResultCode code, const std::string& message)
{
    return renderAnswer(refusal(code, message), {}, {});
}

std::unique_ptr<http_listener> openListener(
    const std::string& address, uint16_t port, std::function<void(const web::http::http_request&)> handler)
{
    std::unique_ptr<http_listener> listener
        = std::make_unique<http_listener>("http://" + address + ":" + std::to_string(port) + "/");
    listener->support(std::move(handler));
    listener->open().wait();
    return listener;
}

} // namespace plantainwall
