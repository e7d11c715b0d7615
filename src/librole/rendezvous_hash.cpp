#include "plantainpitch/role/rendezvous_hash.h"

namespace plantainpitch {

namespace {

std::uint64_t addBytes(std::uint64_t hash, std::string_view bytes)
{
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

// FNV-1a mixes the high bits of short keys poorly; the splitmix64 finalizer distributes them.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view name, std::string_view key)
{
    constexpr std::uint64_t offsetBasis = 0xcbf29ce484222325ULL;
    return mix(addBytes(addBytes(addBytes(offsetBasis, name), "\n"), key));
}

std::string rendezvousOwner(const std::vector<std::string> &names, std::string_view key)
{
    std::string owner;
    std::uint64_t highest = 0;
    for (const std::string &name : names) {
        const std::uint64_t weight = rendezvousWeight(name, key);
        if (owner.empty() || weight > highest || (weight == highest && name < owner)) {
            owner = name;
            highest = weight;
        }
    }
    return owner;
}

} // namespace plantainpitch
