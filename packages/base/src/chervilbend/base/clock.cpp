#include <chervilbend/base/clock.hpp>

#include <chervilbend/base/time_source.hpp>

#include <ctime>

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

    std::int64_t bootMilliseconds() const override
    {
        constexpr std::int64_t perSecond = 1'000;
        constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return static_cast<std::int64_t>(now.tv_sec) * perSecond + static_cast<std::int64_t>(now.tv_nsec) / nanosecondsPerMillisecond;
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

clock::time_point clock::bootNow() noexcept
{
    return time_point(milliseconds(installedSource->bootMilliseconds()));
}

clock::time_point clock::timerNow() noexcept
{
    return time_point(milliseconds(installedSource->timerMilliseconds()));
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
