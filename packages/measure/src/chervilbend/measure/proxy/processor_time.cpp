#include <chervilbend/measure/proxy/processor_time.hpp>

#include <ctime>
#include <pthread.h>

namespace chervilbend::measure
{

double processorSeconds(std::thread &thread)
{
    clockid_t clock = 0;
    timespec time{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace chervilbend::measure
