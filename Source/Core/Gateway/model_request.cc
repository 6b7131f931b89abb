#include "Core/Gateway/model_request.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

// Depth of containers at which the parts of a body stand.
constexpr int kRoot = 1;
constexpr int kMessages = 2;
constexpr int kMessage = 3;

/// Keeps the fields that it knows. As with a parsed object, the last of several
/// fields of one name counts.
class ModelRequestReader : public nlohmann::json_sax<json> {
 public:
  /// Pre: the parser has accepted the body.
  Result<ModelRequest> Take() {
    if (!is_object_) {
      return Malformed("the body is not a JSON object");
    }
    if (!model_) {
      return Malformed("model: must be a string");
    }
    if (!has_messages_) {
      return Malformed("messages: must be an array");
    }
    if (!is_stream_valid_) {
      return Malformed("stream: must be true or false");
    }
    if (!are_messages_valid_) {
      return Malformed("messages: each needs a text content");
    }
    return ModelRequest{ModelName(std::move(*model_)), std::move(prompt_),
                        streaming_};
  }

  bool null() override { return OnOther(); }
  bool number_integer(number_integer_t /*value*/) override { return OnOther(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnOther();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnOther();
  }
  bool binary(binary_t& /*value*/) override { return OnOther(); }
  bool boolean(bool value) override {
    OnOther();
    if (IsField("stream")) {
      is_stream_valid_ = true;
      streaming_ = value;
    }
    return true;
  }
  bool string(string_t& value) override {
    OnOther();
    if (IsField("model")) {
      model_ = std::move(value);
    } else if (IsContent()) {
      content_ = std::move(value);
    }
    return true;
  }
  bool start_object(size_t /*elements*/) override {
    OnContainer();
    is_object_ = is_object_ || depth_ == 0;
    if (IsInMessages() && depth_ == kMessages) {
      // Its end tells whether it is valid.
      is_message_ = true;
      content_.reset();
    }
    ++depth_;
    return true;
  }
  bool key(string_t& name) override {
    if (depth_ == kRoot) {
      field_ = std::move(name);
    } else if (depth_ == kMessage) {
      message_field_ = std::move(name);
    }
    return true;
  }
  bool end_object() override {
    --depth_;
    if (IsInMessages() && depth_ == kMessages) {
      are_messages_valid_ = are_messages_valid_ && content_.has_value();
      prompt_ += content_.value_or("");
      prompt_ += '\n';
      is_message_ = false;
    }
    return true;
  }
  bool start_array(size_t /*elements*/) override {
    OnContainer();
    if (IsField("messages")) {
      has_messages_ = true;
      are_messages_valid_ = true;
      prompt_.clear();
    } else if (IsInMessages() && depth_ == kMessages) {
      are_messages_valid_ = false;
    }
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  static tl::unexpected<Error> Malformed(const char* message) {
    return Fail(ResultCode::kMalformedRequest, message);
  }
  bool IsField(std::string_view name) const {
    return depth_ == kRoot && is_object_ && field_ == name;
  }
  bool IsInMessages() const {
    return depth_ >= kMessages && is_object_ && has_messages_ &&
           field_ == "messages";
  }
  bool IsContent() const {
    return IsInMessages() && depth_ == kMessage && is_message_ &&
           message_field_ == "content";
  }
  /// Takes a value of a type that none of the fields has.
  bool OnOther() {
    if (IsField("model")) {
      model_.reset();
    } else if (IsField("messages")) {
      has_messages_ = false;
    } else if (IsField("stream")) {
      is_stream_valid_ = false;
    } else if (IsContent()) {
      content_.reset();
    } else if (IsInMessages() && depth_ == kMessages) {
      are_messages_valid_ = false;
    }
    return true;
  }
  void OnContainer() {
    // An element of the messages may be an object.
    if (!IsInMessages() || depth_ != kMessages) {
      OnOther();
    }
  }

  int depth_ = 0;
  std::string field_;
  std::string message_field_;
  std::optional<std::string> model_;
  std::optional<std::string> content_;
  std::string prompt_;
  bool is_object_ = false;
  bool has_messages_ = false;
  bool are_messages_valid_ = true;
  bool is_message_ = false;
  bool is_stream_valid_ = true;
  bool streaming_ = false;
};

}  // namespace

Result<ModelRequest> ModelRequest::Parse(std::string_view body) {
  ModelRequestReader reader;
  if (!json::sax_parse(body.begin(), body.end(), &reader)) {
    return Fail(ResultCode::kMalformedRequest, "the body is not a JSON object");
  }
  return reader.Take();
}

}  // namespace basilvalve::gateway
