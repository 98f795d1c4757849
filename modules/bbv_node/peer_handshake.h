#ifndef MODULES_BBV_NODE_PEER_HANDSHAKE_H_
#define MODULES_BBV_NODE_PEER_HANDSHAKE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_core/error.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Identity that a node presents to its peers.
struct NodeIdentity {
  std::string name;
  wire::Role role = wire::Role::kEntry;
  uint64_t epoch = 0;
};

// Mutual authentication of one connection by the shared peer key: each end
// sends a nonce, then an HMAC-SHA256 over both nonces and its own name.
//
// Thread safety: none; used only on the network thread.
class PeerHandshake {
 public:
  // `key` is the shared secret.
  PeerHandshake(NodeIdentity own, std::string key);

  // Returns the Hello message that opens the handshake.
  wire::HelloT MakeHello() const;

  // Processes the peer's Hello and returns the local proof. Fails (step
  // kHandshake) if the Hello is malformed or repeated, or if it carries this
  // node's own name.
  Result<wire::HelloProofT> ProcessHello(const wire::HelloT& hello);

  // Verifies the peer's proof. Precondition: ProcessHello() succeeded.
  Result<void> VerifyProof(const wire::HelloProofT& proof);

  bool hello_received() const { return hello_received_; }
  bool authenticated() const { return authenticated_; }

  // Precondition: hello_received(). Not trustworthy until authenticated().
  const NodeIdentity& peer() const { return peer_; }

 private:
  std::vector<uint8_t> MakeMac(const std::vector<uint8_t>& first_nonce,
                               const std::vector<uint8_t>& second_nonce,
                               const std::string& name) const;

  NodeIdentity own_;
  std::string key_;
  std::vector<uint8_t> nonce_;
  std::vector<uint8_t> peer_nonce_;
  NodeIdentity peer_;
  bool hello_received_ = false;
  bool authenticated_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_PEER_HANDSHAKE_H_
