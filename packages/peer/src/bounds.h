#ifndef MUSTARDPROXY_PEER_BOUNDS_H_
#define MUSTARDPROXY_PEER_BOUNDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Bounds and times of the protocol between entry processes.
namespace mustardproxy::peer_detail {

/// Changes when a message changes its meaning.
inline constexpr std::uint32_t kProtocolVersion = 1;

inline constexpr std::size_t kMaxNameBytes = 256;
inline constexpr std::size_t kMaxDetailBytes = 4096;
/// Of a request, an answer and the configuration document alike.
inline constexpr std::size_t kMaxBodyBytes = 1 << 20;
/// Room for the other fields of a message.
inline constexpr std::size_t kMaxMessageBytes = kMaxBodyBytes + (128 << 10);
inline constexpr std::size_t kMaxJournals = 4096;
/// Bodies of forwarded requests in progress here, all together.
inline constexpr std::size_t kMaxForwardedBytes = 8 << 20;
inline constexpr std::size_t kMaxForwards = 8192;
inline constexpr std::size_t kMaxQueries = 256;

inline constexpr auto kHeartbeatTimeout = std::chrono::milliseconds(800);
inline constexpr auto kConfigurationTimeout = std::chrono::seconds(2);
/// A cancellation is answered after an append to the journal.
inline constexpr auto kQueryTimeout = std::chrono::seconds(5);
inline constexpr auto kCancelTimeout = std::chrono::seconds(2);
/// The answer "given up on" of the peer still arrives within it.
inline constexpr auto kForwardMargin = std::chrono::milliseconds(500);
/// Connections to processes of other data centres that are kept although
/// nothing uses them: one to each of 8 data centres, and all there are at small
/// sizes.
inline constexpr std::int32_t kSpareChannels = 8;
/// Time without a call after which such a connection counts as unused; above
/// the longest interval of heartbeats between data centres.
inline constexpr auto kChannelIdle = std::chrono::seconds(30);
/// Heartbeats in a row without an answer after which a connection is replaced.
inline constexpr int kMissesToReplace = 2;

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_BOUNDS_H_
