#include "plantainpitch/log/config_state.h"

#include "fold_results.h"

#include "plantainpitch/model/documents.h"
#include "plantainpitch/model/error.h"

#include <algorithm>
#include <variant>

namespace plantainpitch {

using detail::acceptedAt;
using detail::refusedAt;

namespace {

error wrongName(const std::string &name)
{
    return { error_kind::invalid_document, "document is not for " + name,
             "publish it under the name that it contains" };
}

} // namespace

std::vector<fold_result> config_state::apply(const stored_batch &stored)
{
    if (stored.offset < m_nextOffset)
        return {};
    m_nextOffset = stored.offset + 1;
    m_producers.forgetOld(stored.offset);
    if (!m_producers.admit(stored))
        return {};

    std::vector<fold_result> results;
    results.reserve(stored.batch.records.size());
    for (const log_record &record : stored.batch.records) {
        const log_position at = log_position::of(stored.offset, results.size());
        if (const auto *change = std::get_if<config_change>(&record))
            results.push_back(fold(*change, at));
        else if (std::holds_alternative<snapshot_part>(record))
            results.push_back(acceptedAt(at, {}));
        else
            results.push_back(refusedAt(at, "record does not belong to this stream"));
    }
    return results;
}

fold_result config_state::fold(const config_change &change, log_position at)
{
    const parsed_entity *known = find(change.kind, change.name);
    const log_position current = known != nullptr ? known->entity.revision : log_position();
    if (change.baseRevision != current)
        return refusedAt(at, "base revision is not the current revision", current);
    if (change.removed && (known == nullptr || known->entity.removed))
        return refusedAt(at, "entity does not exist", current);
    try {
        store(parse({ .kind = change.kind,
                      .name = change.name,
                      .revision = at,
                      .document = change.removed ? std::string() : change.document,
                      .removed = change.removed }));
    } catch (const error &e) {
        return { .position = at, .accepted = false, .reason = e.what(), .current = current };
    }
    return acceptedAt(at, at);
}

config_state::parsed_entity config_state::parse(config_entity entity)
{
    parsed_entity parsed{ .entity = std::move(entity),
                          .parsedTemplate = {},
                          .parsedParameters = {} };
    const std::string &name = parsed.entity.name;
    if (parsed.entity.removed)
        return parsed;
    if (parsed.entity.kind == config_kind::work_template) {
        parsed.parsedTemplate = parseTemplate(parsed.entity.document);
        if (parsed.parsedTemplate->name != name)
            throw wrongName(name);
    } else {
        parsed.parsedParameters = parseParameters(parsed.entity.document);
        if (parsed.parsedParameters->account + '/' + parsed.parsedParameters->templateName != name)
            throw wrongName(name);
    }
    return parsed;
}

void config_state::store(parsed_entity parsed)
{
    m_revision = std::max(m_revision, parsed.entity.revision);
    entity_key key{ parsed.entity.kind, parsed.entity.name };
    m_entities.insert_or_assign(std::move(key), std::move(parsed));
}

bool config_state::applyEntity(const config_entity &entity)
{
    const parsed_entity *known = find(entity.kind, entity.name);
    if (entity.revision.isNone() || (known != nullptr && known->entity.revision >= entity.revision))
        return false;
    try {
        store(parse(entity));
    } catch (const error &) {
        return false;
    }
    return true;
}

const config_state::parsed_entity *config_state::find(config_kind kind,
                                                      const std::string &name) const
{
    const auto it = m_entities.find({ kind, name });
    return it == m_entities.end() ? nullptr : &it->second;
}

const work_template *config_state::findTemplate(const std::string &name) const
{
    const parsed_entity *known = find(config_kind::work_template, name);
    return known != nullptr && known->parsedTemplate ? &*known->parsedTemplate : nullptr;
}

const work_parameters *config_state::findParameters(const std::string &account,
                                                    const std::string &templateName) const
{
    const parsed_entity *known = find(config_kind::parameters, account + '/' + templateName);
    return known != nullptr && known->parsedParameters ? &*known->parsedParameters : nullptr;
}

const config_entity *config_state::findEntity(config_kind kind, const std::string &name) const
{
    const parsed_entity *known = find(kind, name);
    return known != nullptr ? &known->entity : nullptr;
}

std::vector<config_entity> config_state::changedSince(log_position revision) const
{
    std::vector<config_entity> changed;
    for (const auto &[key, parsed] : m_entities) {
        if (parsed.entity.revision > revision)
            changed.push_back(parsed.entity);
    }
    std::sort(changed.begin(), changed.end(), [](const config_entity &a, const config_entity &b) {
        return a.revision < b.revision;
    });
    return changed;
}

} // namespace plantainpitch
