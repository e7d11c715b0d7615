#pragma once

#include "plantainpitch/log/config_entity.h"
#include "plantainpitch/log/fold_result.h"
#include "plantainpitch/log/producer_window.h"
#include "plantainpitch/log/stored_batch.h"
#include "plantainpitch/model/work_parameters.h"
#include "plantainpitch/model/work_template.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch {

/// Deterministic fold of the configuration stream.
class config_state
{
public:
    /// Folds a batch; batches must come in offset order. Returns one result per record; empty for
    /// a batch that was already folded (same producer and sequence, or an old offset) or that is
    /// too late to be folded (see producer_window).
    std::vector<fold_result> apply(const stored_batch &stored);

    /// Applies an entity received from an entry; ignored unless its revision is higher than the
    /// known one and its document is valid. Returns true if it was applied. For agents only: a
    /// state that folds the stream must not take entities from elsewhere.
    bool applyEntity(const config_entity &entity);

    /// Null if unknown or removed.
    [[nodiscard]] const work_template *findTemplate(const std::string &name) const;
    [[nodiscard]] const work_parameters *findParameters(const std::string &account,
                                                        const std::string &templateName) const;
    /// Null if never published; may be marked as removed.
    [[nodiscard]] const config_entity *findEntity(config_kind kind, const std::string &name) const;

    /// Position of the last accepted change.
    [[nodiscard]] log_position revision() const { return m_revision; }
    /// Entities changed after \a revision, in revision order.
    [[nodiscard]] std::vector<config_entity> changedSince(log_position revision) const;

    /// Offset of the next batch to fold.
    [[nodiscard]] std::uint64_t nextOffset() const { return m_nextOffset; }
    [[nodiscard]] std::uint64_t digest() const;

    /// Whole state as bytes, and back. loadSnapshot() throws error(invalid_document) for bytes
    /// that cannot be read and leaves the state unchanged.
    [[nodiscard]] std::string saveSnapshot() const;
    void loadSnapshot(const std::string &data, std::uint64_t through);

private:
    struct parsed_entity
    {
        config_entity entity;
        std::optional<work_template> parsedTemplate;
        std::optional<work_parameters> parsedParameters;
    };

    using entity_key = std::pair<config_kind, std::string>;

    static parsed_entity parse(config_entity entity);
    fold_result fold(const config_change &change, log_position at);
    void store(parsed_entity parsed);
    [[nodiscard]] const parsed_entity *find(config_kind kind, const std::string &name) const;

    std::map<entity_key, parsed_entity> m_entities;
    producer_window m_producers;
    log_position m_revision;
    std::uint64_t m_nextOffset = 0;
};

} // namespace plantainpitch
