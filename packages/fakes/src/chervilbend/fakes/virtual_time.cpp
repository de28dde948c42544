#include <chervilbend/fakes/virtual_time.hpp>

#include <chervilbend/fakes/virtual_scheduler.hpp>

#include <algorithm>

namespace chervilbend::fakes
{

virtual_time::virtual_time(boost::asio::io_context &context)
    : m_context(context)
{
}

void virtual_time::runUntilIdle()
{
    fakes::runUntilIdle(m_source, m_context);
}

void virtual_time::advance(base::milliseconds duration, base::milliseconds step)
{
    for (base::milliseconds done{0}; done < duration; done += step) {
        m_source.advance(std::min(step, duration - done));
        runUntilIdle();
    }
}

} // namespace chervilbend::fakes
