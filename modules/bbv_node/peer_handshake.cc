#include "bbv_node/peer_handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr std::size_t kNonceBytes = 16;

}  // namespace

PeerHandshake::PeerHandshake(NodeIdentity own, std::string key)
    : own_(std::move(own)), key_(std::move(key)), nonce_(kNonceBytes) {
  const int filled = RAND_bytes(nonce_.data(), kNonceBytes);
  assert(filled == 1);
  (void)filled;
}

wire::HelloT PeerHandshake::MakeHello() const {
  wire::HelloT hello;
  hello.node = own_.name;
  hello.role = own_.role;
  hello.epoch = own_.epoch;
  hello.nonce = nonce_;
  return hello;
}

Result<wire::HelloProofT> PeerHandshake::ProcessHello(
    const wire::HelloT& hello) {
  if (hello_received_ || hello.nonce.size() != kNonceBytes ||
      hello.node.empty())
    return Fail(Operation::kHandshake, hello.node,
                "malformed or repeated hello");
  // Also prevents reflection attacks, which replay this node's own proofs to
  // it.
  if (hello.node == own_.name)
    return Fail(Operation::kHandshake, hello.node,
                "peer uses this node's name");
  hello_received_ = true;
  peer_ = {hello.node, hello.role, hello.epoch};
  peer_nonce_ = hello.nonce;
  wire::HelloProofT proof;
  proof.mac = MakeMac(nonce_, peer_nonce_, own_.name);
  return proof;
}

Result<void> PeerHandshake::VerifyProof(const wire::HelloProofT& proof) {
  assert(hello_received_);
  const auto expected = MakeMac(peer_nonce_, nonce_, peer_.name);
  const bool equal =
      proof.mac.size() == expected.size() &&
      CRYPTO_memcmp(proof.mac.data(), expected.data(), expected.size()) == 0;
  if (!equal)
    return Fail(Operation::kHandshake, peer_.name,
                "wrong peer key: proof does not match");
  authenticated_ = true;
  return {};
}

std::vector<uint8_t> PeerHandshake::MakeMac(
    const std::vector<uint8_t>& first_nonce,
    const std::vector<uint8_t>& second_nonce,
    const std::string& name) const {
  std::string text = "bluebellvalve-peer-1";
  text.append(first_nonce.begin(), first_nonce.end());
  text.append(second_nonce.begin(), second_nonce.end());
  text.append(name);
  std::vector<uint8_t> mac(EVP_MAX_MD_SIZE);
  unsigned int length = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const uint8_t*>(text.data()), text.size(), mac.data(),
       &length);
  mac.resize(length);
  return mac;
}

}  // namespace bbv
