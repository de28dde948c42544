#pragma once

#include <thread>

namespace chervilbend::measure
{

/// Processor time that a running thread has used so far, in seconds.
double processorSeconds(std::thread &thread);

} // namespace chervilbend::measure
