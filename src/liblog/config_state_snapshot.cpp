#include "plantainpitch/log/config_state.h"

#include "snapshot_fields.h"

#include "plantainpitch/log/snapshot_digest.h"

namespace plantainpitch {

using detail::byte_reader;
using detail::byte_writer;

namespace {

void write(byte_writer &out, const config_entity &entity)
{
    out.byte(static_cast<std::uint8_t>(entity.kind));
    out.text(entity.name);
    out.number(entity.revision.value);
    out.text(entity.document);
    out.flag(entity.removed);
}

config_entity readEntity(byte_reader &in)
{
    config_entity entity;
    entity.kind = in.enumerator(config_kind::parameters);
    entity.name = in.text();
    entity.revision = in.position();
    entity.document = in.text();
    entity.removed = in.flag();
    return entity;
}

} // namespace

std::uint64_t config_state::digest() const
{
    return snapshotDigest(saveSnapshot());
}

std::string config_state::saveSnapshot() const
{
    byte_writer out;
    detail::writeHead(out, m_nextOffset);
    detail::write(out, m_producers);
    out.number(m_entities.size());
    for (const auto &[key, parsed] : m_entities)
        write(out, parsed.entity);
    return out.take();
}

void config_state::loadSnapshot(const std::string &data, std::uint64_t through)
{
    byte_reader in(data);
    config_state loaded;
    loaded.m_nextOffset = detail::readHead(in, through);
    detail::read(in, loaded.m_producers, loaded.m_nextOffset);
    entity_key last;
    for (std::size_t left = in.count(); left > 0; --left) {
        config_entity entity = readEntity(in);
        entity_key key{ entity.kind, entity.name };
        in.check(loaded.m_entities.empty() || last < key, "entities are not in order");
        last = std::move(key);
        loaded.store(parse(std::move(entity)));
    }
    in.finish();
    *this = std::move(loaded);
}

} // namespace plantainpitch
