#include <chervilbend/base/clock.hpp>

#include <chervilbend/base/time_source.hpp>

namespace chervilbend::base
{

namespace
{

class system_time_source : public time_source
{
public:
    std::int64_t steadyMilliseconds() const override
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    std::int64_t wallMilliseconds() const override
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

const system_time_source systemSource;
const time_source *installedSource = &systemSource;

} // namespace

clock::time_point clock::now() noexcept
{
    return time_point(milliseconds(installedSource->steadyMilliseconds()));
}

milliseconds clock::wallNow() noexcept
{
    return milliseconds(installedSource->wallMilliseconds());
}

void clock::install(const time_source *source) noexcept
{
    installedSource = source ? source : &systemSource;
}

} // namespace chervilbend::base
