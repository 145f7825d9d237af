// Cost of tenants' quotas at the size of docs/CAPACITY.md: memory, time of a decision, and reports of one VM. The VMs
// get requests of 1,000 tenants at random and report to each other without delay.
// Usage: tenancy_benchmark [PARTICIPANTS [REQUESTS_PER_SECOND]]

#include "fleet/gossipcodec.h"
#include "tenancy/tenantquotas.h"

#include <malloc.h>

#include <cstdlib>
#include <iostream>

using namespace sassafrasvane;

namespace
{

constexpr std::size_t tenantCount = 1'000;
constexpr std::size_t seconds = 60;
constexpr std::size_t ticksPerSecond = 20;
constexpr Duration tick = std::chrono::milliseconds(50);

double microsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t participants = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 16;
    const double perSecond = argc > 2 ? std::strtod(argv[2], nullptr) : 1'400;
    TimePoint now{std::chrono::hours(1)};
    std::vector<TenantQuota> quotas;
    for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
        quotas.push_back({"tenant-" + std::to_string(tenant), 2 * perSecond / tenantCount, 10});
    }
    std::vector<DaemonId> daemons;
    for (std::size_t vm = 0; vm < participants; ++vm) {
        daemons.push_back(daemonId({static_cast<std::uint32_t>(0x0a000001 + vm), 7'740}));
    }
    const std::size_t heapBefore = heapBytes();
    std::vector<TenantQuotas> vms;
    for (const DaemonId daemon : daemons) {
        vms.push_back(TenantQuotas::Builder().self(daemon).tolerance({std::chrono::seconds(5), 0.25, 20}).build(now));
        vms.back().setParticipants(now, daemons);
        vms.back().setQuotas(now, quotas);
    }
    const std::vector<std::string> keys{"key"};
    GossipCodec codec
        = GossipCodec::Builder().self(daemons.front()).incarnation(Incarnation{UINT64_MAX}).keys(keys).build().value();
    Random random(1);
    double admitMicros = 0;
    double reportMicros = 0;
    double dueMicros = 0;
    std::size_t requests = 0;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    std::string datagram;
    for (std::size_t step = 0; step < seconds * ticksPerSecond; ++step) {
        now += tick;
        for (std::size_t left = static_cast<std::size_t>(perSecond) / ticksPerSecond; left > 0; --left) {
            TenantQuotas &vm = vms[random.below(participants)];
            const std::string &tenant = quotas[random.below(tenantCount)].tenant;
            const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            vm.admit(now, tenant);
            admitMicros += microsSince(start);
            ++requests;
        }
        for (std::size_t sender = 0; sender < participants; ++sender) {
            const std::chrono::steady_clock::time_point dueStart = std::chrono::steady_clock::now();
            const std::vector<QuotaReport> reports = vms[sender].dueReports(now);
            dueMicros += microsSince(dueStart);
            const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            for (const QuotaReport &report : reports) {
                if (codec.encode(daemons.back(), QuotaMessage{report}, datagram).has_error()) {
                    return 1;
                }
                datagrams += participants - 1;
                bytes += datagram.size() * (participants - 1);
                for (std::size_t receiver = 0; receiver < participants; ++receiver) {
                    if (receiver != sender) {
                        vms[receiver].onReport(now, daemons[sender], report);
                    }
                }
            }
            reportMicros += microsSince(start);
        }
    }
    const double count = static_cast<double>(participants);
    const double vmSeconds = count * seconds;
    constexpr double kilobyte = 1'000;
    std::cout << "participants " << participants << ", requests/s " << perSecond << "\n"
              << "heap KB a VM " << static_cast<double>(heapBytes() - heapBefore) / count / kilobyte << "\n"
              << "us a decision " << admitMicros / static_cast<double>(requests) << "\n"
              << "us a second in dueReports() a VM " << dueMicros / vmSeconds << "\n"
              << "us a second in onReport() a VM " << reportMicros / vmSeconds << "\n"
              << "datagrams a second sent by a VM " << static_cast<double>(datagrams) / vmSeconds << "\n"
              << "KB a second sent by a VM " << static_cast<double>(bytes) / vmSeconds / kilobyte << "\n";
    return 0;
}
