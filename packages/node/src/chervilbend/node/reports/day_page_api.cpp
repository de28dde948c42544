#include <chervilbend/node/reports/day_page_api.hpp>

#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/reports/day_page.hpp>
#include <chervilbend/node/reports/recent_days.hpp>

#include <utility>

namespace chervilbend::node
{

day_page_api::day_page_api(const recent_days &days, net::http_handler &next)
    : m_days(days)
    , m_next(next)
{
}

boost::asio::awaitable<void> day_page_api::handle(std::shared_ptr<net::http_exchange> exchange)
{
    if (exchange->request().method() != net::http::verb::get || exchange->request().target() != "/day") {
        co_await m_next.handle(exchange);
        co_return;
    }
    const base::milliseconds now = base::clock::wallNow();
    net::http_response page(net::http::status::ok, 11);
    page.set(net::http::field::content_type, "text/html; charset=utf-8");
    page.body() = renderDayPage(m_days.report(now, now));
    co_await exchange->respond(std::move(page));
}

} // namespace chervilbend::node
