#include "colocation_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace plantainpitch {

namespace {

constexpr std::size_t vmCount = 24;
constexpr std::size_t services = 3;
constexpr std::size_t batchTemplates = 6;
constexpr std::int64_t lagSeconds = 3;
constexpr std::int64_t usPerSecond = 1'000'000;
constexpr std::int64_t processorsForBatch = 8000;
constexpr double restartCostSeconds = 5; ///< work that an evicted task repeats
constexpr double jitter = 0.02; ///< of the latency of one window

std::string serviceName(std::size_t i)
{
    return "service" + std::to_string(i);
}

std::string batchName(std::size_t i)
{
    return "batch" + std::to_string(i);
}

/// Interference per pair, drawn from the seed.
class true_interference final : public interference_model
{
public:
    explicit true_interference(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<> small(0.0, 0.06);
        std::uniform_real_distribution<> large(0.15, 0.45);
        for (std::size_t s = 0; s < services; ++s) {
            for (std::size_t b = 0; b < batchTemplates; ++b)
                m_added[{ serviceName(s), batchName(b) }] =
                        random() % 3 == 0 ? large(random) : small(random);
        }
    }

    void observe(const observation &seen) override { (void)seen; }

    [[nodiscard]] double latencyRatioWithoutBatch(const std::string &service,
                                                  double load) const override
    {
        (void)service;
        return 0.25 + 0.45 * load * load;
    }

    [[nodiscard]] double addedLatencyRatio(const std::string &service, double load,
                                           const template_counts &batch) const override
    {
        double sum = 0;
        for (const auto &[name, count] : batch)
            sum += count * m_added.at({ service, name }) * (0.5 + load);
        return sum;
    }

private:
    std::map<std::pair<std::string, std::string>, double> m_added;
};

} // namespace

std::unique_ptr<interference_model> colocation_model::truth(std::uint64_t seed)
{
    return std::make_unique<true_interference>(seed);
}

colocation_model::colocation_model(std::uint64_t seed, colocation_strategy strategy)
    : m_random(seed)
    , m_strategy(std::move(strategy))
    , m_truth(truth(seed))
{
    for (std::size_t i = 0; i < vmCount; ++i) {
        vm_state vm;
        vm.place = { .vm = "vm" + std::to_string(i),
                     .rack = "rack" + std::to_string(i / 3),
                     .capacity = { .processorsMilli = processorsForBatch },
                     .available = { .processorsMilli = processorsForBatch },
                     .serviceTemplate = serviceName(i % services) };
        if (m_strategy.controller)
            vm.controller = m_strategy.controller();
        m_vms.push_back(std::move(vm));
    }
    m_places.resize(vmCount);
}

double colocation_model::loadOf(std::size_t vm) const
{
    // A slow swing per service and a step that lasts two of every fifteen minutes.
    const auto service = static_cast<double>(vm % services);
    const auto now = static_cast<double>(m_second);
    const double swing = 0.5 + 0.25 * std::sin(now / 300 + service * 2);
    const bool step = (m_second + static_cast<std::int64_t>(vm % services) * 300) % 900 < 120;
    return std::min(1.0, swing + (step ? 0.15 : 0));
}

double colocation_model::shareLimit(const vm_state &vm, const interference_model &model) const
{
    const double alone =
            model.latencyRatioWithoutBatch(vm.place.serviceTemplate, vm.place.serviceLoad);
    const double added = model.addedLatencyRatio(vm.place.serviceTemplate, vm.place.serviceLoad,
                                                 vm.place.batchTemplates);
    return added <= 0 ? 1 : std::clamp((m_strategy.goal - alone) / added, 0.0, 1.0);
}

void colocation_model::addArrivals()
{
    // The queue never runs dry, so that the work done is what the VMs allow. Every ten minutes a
    // wave of one template arrives.
    const std::size_t wave = static_cast<std::size_t>(m_second / 600) % batchTemplates;
    while (m_waiting.size() < 12) {
        const bool ofWave = m_second % 600 < 60;
        const std::size_t kind = ofWave ? wave : m_random() % batchTemplates;
        const double length = 30 + static_cast<double>(m_random() % 270);
        m_waiting.push_back({ .templateName = batchName(kind), .leftSeconds = length });
    }
}

void colocation_model::placeWaiting()
{
    for (std::size_t i = 0; i < vmCount; ++i)
        m_places[i] = m_vms[i].place;
    const auto anywhere = [](const placement_vm &) { return true; };
    const auto inRack = [](const std::string &) { return std::size_t{ 0 }; };
    constexpr resources needed{ .processorsMilli = 1000 };
    for (auto task = m_waiting.begin(); task != m_waiting.end();) {
        const auto chosen = m_strategy.placement->choose(
                { .templateName = task->templateName, .needed = needed }, m_places, anywhere,
                inRack);
        if (!chosen)
            break;
        vm_state &vm = m_vms[*chosen];
        vm.place.available = vm.place.available - needed;
        ++vm.place.batchTemplates[task->templateName];
        m_places[*chosen] = vm.place;
        vm.tasks.push_back(*task);
        task = m_waiting.erase(task);
    }
}

void colocation_model::control(vm_state &vm)
{
    if (!vm.controller) {
        vm.share = shareLimit(vm, *m_truth);
        return;
    }
    const std::int64_t nowUs = m_second * usPerSecond;
    while (!vm.late.empty() && vm.late.front().sample.toUs + lagSeconds * usPerSecond <= nowUs) {
        const window &old = vm.late.front();
        vm.controller->onSample(old.sample);
        if (m_strategy.model)
            m_strategy.model->observe(old.seen);
        vm.late.pop_front();
    }
    const double limit = m_strategy.model ? shareLimit(vm, *m_strategy.model) : 1;
    const throttle_decision decision = vm.controller->decide(nowUs, limit);
    vm.share = decision.batchShare;
    if (decision.evict)
        evictOne(vm);
}

void colocation_model::evictOne(vm_state &vm)
{
    if (vm.tasks.empty())
        return;
    batch_task task = vm.tasks.back();
    vm.tasks.pop_back();
    if (--vm.place.batchTemplates[task.templateName] == 0)
        vm.place.batchTemplates.erase(task.templateName);
    vm.place.available.processorsMilli += 1000;
    task.leftSeconds += restartCostSeconds;
    m_result.batchWork -= restartCostSeconds;
    m_waiting.push_back(task);
    ++m_result.evictions;
}

void colocation_model::passWindow(vm_state &vm)
{
    std::normal_distribution<> noise(1, jitter);
    const double factor = std::clamp(noise(m_random), 1 - 3 * jitter, 1 + 3 * jitter);
    const double latency =
            factor
            * (m_truth->latencyRatioWithoutBatch(vm.place.serviceTemplate, vm.place.serviceLoad)
               + vm.share
                         * m_truth->addedLatencyRatio(vm.place.serviceTemplate,
                                                      vm.place.serviceLoad,
                                                      vm.place.batchTemplates));
    ++m_result.windows;
    m_result.windowsMet += latency <= 1 ? 1 : 0;
    vm.late.push_back({ .sample = { .fromUs = m_second * usPerSecond,
                                    .toUs = (m_second + 1) * usPerSecond,
                                    .latencyRatio = latency },
                        .seen = { .service = vm.place.serviceTemplate,
                                  .load = vm.place.serviceLoad,
                                  .batch = vm.place.batchTemplates,
                                  .batchShare = vm.share,
                                  .latencyRatio = latency } });
    for (auto task = vm.tasks.begin(); task != vm.tasks.end();) {
        m_result.batchWork += vm.share;
        task->leftSeconds -= vm.share;
        if (task->leftSeconds > 0) {
            ++task;
            continue;
        }
        if (--vm.place.batchTemplates[task->templateName] == 0)
            vm.place.batchTemplates.erase(task->templateName);
        vm.place.available.processorsMilli += 1000;
        task = vm.tasks.erase(task);
    }
}

colocation_result colocation_model::run(std::int64_t seconds)
{
    for (m_second = 0; m_second < seconds; ++m_second) {
        for (std::size_t i = 0; i < vmCount; ++i)
            m_vms[i].place.serviceLoad = loadOf(i);
        addArrivals();
        placeWaiting();
        for (vm_state &vm : m_vms) {
            control(vm);
            passWindow(vm);
        }
    }
    return m_result;
}

} // namespace plantainpitch
