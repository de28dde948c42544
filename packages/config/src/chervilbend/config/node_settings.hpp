#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// The settings that a node reads at startup. nodeSettingTable() documents each member and its range; docs/settings.md is generated from it.
struct node_settings {
    std::string node;
    std::string zone;
    /// "IP:PORT" or "[IPv6]:PORT", as for the other addresses.
    std::string listen;
    std::string peerListen;
    std::string log;
    std::string hosts;
    std::string store;
    /// Address of the platform's metadata store; set on the users' platform, where log, hosts, store and keys are not used.
    std::string metadataStore;
    /// Listening address for readiness checks; if empty, only listen serves them.
    std::string readyListen;
    /// Listening address for metrics requests; if empty, only listen serves them.
    std::string metricsListen;
    /// One or two shared secrets; messages are signed with the first, and both are accepted.
    std::vector<std::string> keys;
    std::string logLevel = "INFO";
    /// Write log lines as JSON objects to standard output instead of text to standard error.
    bool jsonLog = false;

    base::milliseconds leaseTerm{6'000};
    base::milliseconds leaseMargin{1'000};
    base::milliseconds heartbeatInterval{2'000};
    base::milliseconds quarantine{600'000};
    base::milliseconds checkpointInterval{60'000};
    base::milliseconds keyLifetime{7'200'000};

    base::milliseconds reportInterval{2'000};
    base::milliseconds hostInterval{2'000};

    base::milliseconds balancerWait{5'000};
    base::milliseconds shutdownBound{60'000};

    base::byte_count headerLimit{16 * 1024};
    base::byte_count bodyLimit{4 * 1024 * 1024};
    base::byte_count bufferLimit{32 * 1024 * 1024};
    std::int64_t connectionLimit = 10'000;
    base::milliseconds readTimeout{10'000};
    base::milliseconds writeTimeout{30'000};
    base::milliseconds idleTimeout{60'000};
    std::int64_t queueLength = 10'000;
    std::int64_t retryPercent = 10;
    std::int64_t longWorkPercent = 45;
    std::int64_t seed = 0;
    base::milliseconds drainTime{2'000};
    base::milliseconds commandGap{3'000};
    bool enginesCheckFencing = false;
    double processorShare = 1;
    double linkRate = 1'000;
    double retryShare = 0.2;
    double retryBurst = 50;
    base::milliseconds retryWindow{0};
    bool estimatedRetryAfter = false;
    bool sharedEndpointFailures = false;
    base::milliseconds loadWindow{5'000};
    double loadOvershoot = 1.0;
    base::milliseconds configurationBound{3'000};
    bool strictRevocation = false;
    base::milliseconds revocationBound{5'000};
    double quotaOvershoot = 0;
    std::int64_t configurationCopies = 0;
    std::int64_t storeRecordLimit = 262'144;
    double storeReadRate = 80;
};

} // namespace chervilbend::config
