#pragma once

#include "plantainpitch/policy/interference_model.h"
#include "plantainpitch/policy/placement_policy.h"
#include "plantainpitch/policy/throttle_controller.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch {

/// What one run of the model measured.
struct colocation_result
{
    std::uint64_t windows = 0;
    std::uint64_t windowsMet = 0;
    std::uint64_t evictions = 0;
    double batchWork = 0; ///< task seconds done

    [[nodiscard]] double metShare() const
    {
        return static_cast<double>(windowsMet) / static_cast<double>(windows);
    }
};

/// How a run decides.
struct colocation_strategy
{
    std::unique_ptr<interference_model> model; ///< learned from samples; null: none
    std::unique_ptr<placement_policy> placement;
    std::function<std::unique_ptr<throttle_controller>()> controller; ///< null: the oracle
    double goal = 1;
};

/// VMs in racks of three, each with a service whose load shifts, and batch tasks that interfere
/// with it pairwise. Windows last a second; latency samples arrive three seconds later.
class colocation_model
{
public:
    colocation_model(std::uint64_t seed, colocation_strategy strategy);
    /// The interference as it is, for a placement that knows it.
    static std::unique_ptr<interference_model> truth(std::uint64_t seed);

    colocation_result run(std::int64_t seconds);

private:
    struct batch_task
    {
        std::string templateName;
        double leftSeconds = 0;
    };
    struct window
    {
        latency_sample sample;
        interference_model::observation seen;
    };
    struct vm_state
    {
        placement_vm place;
        std::vector<batch_task> tasks;
        std::unique_ptr<throttle_controller> controller;
        std::deque<window> late;
        double share = 0;
    };

    void addArrivals();
    void placeWaiting();
    void control(vm_state &vm);
    void passWindow(vm_state &vm);
    void evictOne(vm_state &vm);
    [[nodiscard]] double loadOf(std::size_t vm) const;
    [[nodiscard]] double shareLimit(const vm_state &vm, const interference_model &model) const;

    std::mt19937_64 m_random;
    colocation_strategy m_strategy;
    std::unique_ptr<interference_model> m_truth;
    std::vector<vm_state> m_vms;
    std::vector<placement_vm> m_places;
    std::deque<batch_task> m_waiting;
    std::int64_t m_second = 0;
    colocation_result m_result;
};

} // namespace plantainpitch
