#include <criterion/criterion.h>

#include "gentian_log/gentian_log.h"
#include "platform/platform.h"

using namespace gentian;

namespace {

http_request CallerRequest() {
  http_request request;
  request.method = "POST";
  request.target = "/lohu930/4b?x=1";
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Host", "ficu95.example"},
           {"Request-Id", "e5b2"},
           {"X-Api-Key", "secret"},
           {"Tenant", "forged"},
           {"Expect-Instance", "forged"},
           {"Hold", "forged"},
           {"Kv-From", "forged"},
           {"Deadline-Ms", "3000"},
           {"Program-Id", "3fa81c"},
           {"Finish-Ms", "5200"},
           {"Token-Budget", "4712"},
           {"Token-Count", "1840,589"},
           {"Connection", "keep-alive,, X-Hop ,\tx-OTHER"},
           {"X-Hop", "1"},
           {"X-Other", "3"},
           {"X", "4"},
           {"X-Own", "2"}}) {
    request.headers.Add(name, value);
  }
  return request;
}

}  // namespace

// Guards against a header field that is decoded into the wrong member.
Test(platform_protocol, reads_what_a_caller_says) {
  const auto call = platform_protocol().DecodeCall(CallerRequest());
  cr_assert(call.has_value());
  cr_assert(call->request_id == "e5b2");
  cr_assert(call->host == "ficu95.example");
  cr_assert(call->path == "/lohu930/4b");
  cr_assert(call->key == "secret");
  cr_assert(call->time_left == milliseconds(3'000));
  cr_assert(call->finish_within == milliseconds(5'200));
  cr_assert(call->token_budget == 4'712);
  cr_assert(call->max_output_tokens == 589);
}

// Guards against a turn that starts a chain of its own because the turn that it
// continues from was not read.
Test(platform_protocol, reads_what_a_request_continues_from) {
  http_request request = CallerRequest();
  request.headers.Add("Previous-Turn", "77d2");
  request.headers.Add("Cookie", "other=1; Affinity-Key=17; x=2");
  const auto call = platform_protocol().DecodeCall(request);
  cr_assert(call.has_value());
  cr_assert(call->previous_turn == "77d2");
  cr_assert(call->object == "17");
  cr_assert(platform_protocol().DecodeCall(CallerRequest())->object.empty());
}

// Guards against an identifier that can't be written as JSON, which would end
// the process.
Test(platform_protocol, rejects_identifiers_that_are_not_text) {
  for (const char* name :
       {"Request-Id", "Program-Id", "Previous-Turn", "Last-Event-Id"}) {
    http_request request;
    request.method = "POST";
    request.target = "/x/";
    request.headers.Add("Host", "h");
    request.headers.Add(name, "a\xff");
    cr_assert(!platform_protocol().DecodeCall(request), "%s", name);
  }
}

// Guards against identifiers that fill the memory, since they are kept after
// their requests.
Test(platform_protocol, rejects_identifiers_that_are_too_long) {
  constexpr std::size_t kMost = 1'024;
  for (const char* name :
       {"Request-Id", "Program-Id", "Previous-Turn", "Last-Event-Id"}) {
    for (const std::size_t size : {kMost, kMost + 1}) {
      http_request request;
      request.method = "POST";
      request.target = "/x/";
      request.headers.Add("Host", "h");
      request.headers.Add(name, std::string(size, 'a'));
      cr_assert(platform_protocol().DecodeCall(request).has_value() ==
                    (size == kMost),
                "%s", name);
    }
  }
}

// Guards against forwarding a caller's key, or a reserved header field that the
// caller forged, to a target.
Test(platform_protocol, sets_the_systems_fields_itself) {
  target_call details;
  details.target_id = "i-1";
  details.team = "team";
  details.time_left = milliseconds(2'500);
  const http_headers headers =
      platform_protocol().TargetHeaders(CallerRequest(), details);
  cr_assert(headers.Find("X-Api-Key").empty());
  cr_assert(headers.Find("Hold").empty());
  cr_assert(headers.Find("Kv-From").empty());
  cr_assert(headers.Find("X-Hop").empty());
  cr_assert(headers.Find("X-Other").empty());
  cr_assert(headers.Find("X") == "4");
  cr_assert(headers.Find("X-Own") == "2");
  cr_assert(headers.Find("Tenant") == "team");
  cr_assert(headers.Find("Expect-Instance") == "i-1");
  cr_assert(headers.Find("Deadline-Ms") == "2500");
  cr_assert(headers.Find("Request-Id") == "e5b2");
}

// Guards against request smuggling by ambiguous framing or a second Host field.
Test(platform_protocol, rejects_an_ambiguous_request) {
  http_request request = CallerRequest();
  request.headers.Add("Transfer-Encoding", "identity, chunked");
  cr_assert(!platform_protocol().DecodeCall(request));
  http_request two_hosts = CallerRequest();
  two_hosts.headers.Add("Host", "other.example");
  cr_assert(!platform_protocol().DecodeCall(two_hosts));
}

// Guards against counting a target's rejection as an execution, and the
// reverse.
Test(platform_protocol, tells_a_refusal_from_a_run) {
  http_headers refused;
  refused.Add("Not-Run", "1");
  refused.Add("Server-Load", "6,2,32");
  const target_answer full = platform_protocol().DecodeAnswer(503, refused);
  cr_assert(full.not_run);
  cr_assert(full.load->running == 6);
  cr_assert(full.load->waiting == 2);
  cr_assert(!platform_protocol().DecodeAnswer(503, http_headers()).not_run);
  cr_assert(platform_protocol().DecodeAnswer(421, http_headers()).wrong_target);
}

// Guards against a limit that is overlooked, and against a damaged one that
// stops all requests or ends the process.
Test(platform_protocol, reads_the_limit_of_a_target) {
  const auto limit = [](const char* text) {
    http_headers headers;
    headers.Add("Server-Limit", text);
    return platform_protocol().DecodeAnswer(200, headers).rate_limit;
  };
  cr_assert(limit("6.75") == 6.75);
  cr_assert(limit("12") == 12);
  cr_assert(limit("0") == 0);
  cr_assert(!platform_protocol().DecodeAnswer(200, http_headers()).rate_limit);
  for (const char* damaged :
       {"", " ", "-1", "6,5", "6.5 ", "1e3", "nan", "inf", "many"}) {
    cr_assert(!limit(damaged), "%s", damaged);
  }
}

// Guards against a damaged header that takes a target out of use.
Test(platform_protocol, reads_that_a_target_leaves) {
  const auto leaves = [](const std::vector<std::string>& values) {
    http_headers headers;
    for (const std::string& value : values) {
      headers.Add("Server-Leaving", value);
    }
    return platform_protocol().DecodeAnswer(200, headers).is_leaving;
  };
  cr_assert(leaves({"1"}));
  cr_assert(!leaves({}));
  cr_assert(!leaves({"1", "1"}));
  for (const char* other : {"", "0", "2", "true", "1 ", "1,1", "\xff"}) {
    cr_assert(!leaves({other}), "%s", other);
  }
}

// Guards against using malformed entries of the target list.
Test(platform_protocol, skips_entries_that_name_no_target) {
  const platform_protocol protocol;
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"ready","seq":3,"born":17,"version":"v2"})";
  const auto target = protocol.DecodeTarget({"servers/i-7", good, 1});
  cr_assert(!Failed(target));
  cr_assert(ValueOf(target).id == "i-7");
  cr_assert(ValueOf(target).started_at_ms == 17);
  cr_assert(ValueOf(target).version == "v2");
  for (const char* bad :
       {"", "[]", "{}", "\xff\xfe", R"({"service":1})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"lost","seq":3,"version":"v2"})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":4,)"
        R"("state":"ready","seq":3,"version":"v2"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4",)"
        R"("state":"ready","seq":3,"version":"v2"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","seq":3,"version":2})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","seq":3})"}) {
    cr_assert(Failed(protocol.DecodeTarget({"servers/i-7", bad, 1})), "%s",
              bad);
  }
}

// Guards against misreading a route, key or limit of the configuration.
Test(platform_protocol, reads_a_configuration) {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("kind":"streaming","timeout_ms":4000,"target_latency_ms":250,)"
      R"("priority":1,"split":[{"service":"a","weight":90},)"
      R"({"service":"b","weight":10}],"attempts":1,"public":false,)"
      R"("retain_kv":true,"retain_s":12.5,)"
      R"("sticky":true,"resumable":true,"gap_aim_ms":300}],)"
      R"("services":[{"name":"a","max_conns":230,"engine":)"
      R"({"tokens_per_event":19}}],"limits":{"max_body_bytes":99},)"
      R"("tenants":[{"name":"t","api_keys":["k"],"rate_per_s":171,)"
      R"("burst":171,"priority":2}]})";
  const auto decoded =
      platform_protocol().DecodeConfiguration({"op/config", text, 1});
  cr_assert(!Failed(decoded));
  const gateway_configuration& configuration = *ValueOf(decoded);
  const gateway_route* route = configuration.FindRoute("h", "/p/x");
  cr_assert(route->kind == route_kind::stream);
  cr_assert(route->resumable);
  cr_assert(route->max_targets == 1);
  cr_assert(route->services.size() == 2);
  cr_assert(route->max_event_gap == milliseconds(2'400));
  cr_assert(route->keeps_turns && route->has_affinity);
  cr_assert(route->turn_retention == milliseconds(12'500));
  cr_assert(configuration.FindTeamByKey("k")->rate == 171);
  cr_assert(configuration.FindService("a")->tokens_per_event == 19);
  cr_assert(configuration.content().max_body_bytes == 99);
  cr_assert(
      Failed(platform_protocol().DecodeConfiguration({"op/config", "{", 1})));
}

// Guards against retrying requests of a route whose kind this version does not
// know.
Test(platform_protocol, an_unknown_kind_is_not_repeated) {
  const auto decoded = platform_protocol().DecodeConfiguration(
      {"op/config",
       R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"new"}]})",
       1});
  cr_assert(ValueOf(decoded)->FindRoute("h", "/")->kind ==
            route_kind::at_most_once);
}

// Guards against starting with unusable settings, and against an error that
// does not name the file and a remedy.
Test(node_file, names_the_field_and_the_remedy) {
  const std::string good =
      R"({"node_name":"n","ip":"10.0.0.1","zone":"z","inner_ports":[7780,7795],)"
      R"("listen":{"front":"10.0.0.1:80","ready":null},"unknown":1,)"
      R"("bounds":{"revoke_ms":4000,"grace_s":6},)"
      R"("platform":{"address":"10.0.0.9:1"}})";
  const auto settings = ParseNodeFile(good, "file");
  cr_assert(!Failed(settings));
  cr_assert(ValueOf(settings).peer_address == "10.0.0.1:7780");
  cr_assert(ValueOf(settings).readiness_address.empty());
  cr_assert(ValueOf(settings).withdrawal_bound == milliseconds(4'000));
  cr_assert(ValueOf(settings).stop_grace == milliseconds(6'000));
  for (const char* bad : {"", "[]", R"({"node_name":"n"})"}) {
    const auto failed = ParseNodeFile(bad, "file");
    cr_assert(Failed(failed));
    cr_assert(ErrorOf(failed).message.find("file") != std::string::npos);
    cr_assert(!ErrorOf(failed).remedy.empty());
  }
}

// Guards against a gateway that keeps bounds of another deployment.
Test(node_file, reads_the_bounds_of_the_deployment) {
  const std::string begin =
      R"({"node_name":"n","ip":"10.0.0.1","inner_ports":[1,2],)"
      R"("platform":{"address":"10.0.0.9:1"})";
  const auto named = ParseNodeFile(
      begin + R"(,"bounds":{"config_apply_ms":3000,"drain_ms":4000}})", "file");
  cr_assert(ValueOf(named).configuration_bound == milliseconds(3'000));
  cr_assert(ValueOf(named).drain_bound == milliseconds(4'000));
  const auto absent = ParseNodeFile(begin + "}", "file");
  cr_assert(ValueOf(absent).configuration_bound == milliseconds(2'000));
  cr_assert(ValueOf(absent).drain_bound == milliseconds(2'000));
}

// Guards against a process that does not know its memory, and against one that
// takes a damaged limit for a small one.
Test(node_file, reads_the_memory_of_the_host) {
  const std::string begin =
      R"({"node_name":"n","ip":"10.0.0.1","inner_ports":[1,2],"data_dir":"/d",)"
      R"("platform":{"address":"10.0.0.9:1"},"limits":)";
  constexpr std::size_t kMegabyte = 1024 * 1024;
  const std::string good = begin + R"({"memory_mb":88}})";
  cr_assert(ValueOf(ParseNodeFile(good, "file")).memory == 88 * kMegabyte);
  cr_assert(ValueOf(ParseTurnStoreFile(good, "file")).memory == 88 * kMegabyte);
  for (const char* limits :
       {"null", "[]", "{}", R"({"memory_mb":-1})", R"({"memory_mb":1.5})",
        R"({"memory_mb":"88"})", R"({"memory_mb":18446744073709551615})"}) {
    const auto settings = ParseNodeFile(begin + limits + "}", "file");
    cr_assert(!Failed(settings) && ValueOf(settings).memory == 0, "%s", limits);
  }
}

// Guards against a process that opens more descriptors than its host lets it,
// and against one that takes a damaged limit for a small one.
Test(node_file, reads_the_descriptors_of_the_host) {
  const std::string begin =
      R"({"node_name":"n","ip":"10.0.0.1","inner_ports":[1,2],"data_dir":"/d",)"
      R"("platform":{"address":"10.0.0.9:1"},"limits":)";
  const std::string good = begin + R"({"max_fds":4100}})";
  cr_assert(ValueOf(ParseNodeFile(good, "file")).descriptors == 3'900);
  cr_assert(ValueOf(ParseTurnStoreFile(good, "file")).descriptors == 3'900);
  const std::string small = begin + R"({"max_fds":100}})";
  cr_assert(ValueOf(ParseNodeFile(small, "file")).descriptors == 1);
  for (const char* limits :
       {"null", "[]", "{}", R"({"max_fds":-1})", R"({"max_fds":"4100"})"}) {
    const auto settings = ParseNodeFile(begin + limits + "}", "file");
    cr_assert(!Failed(settings) && ValueOf(settings).descriptors == 0, "%s",
              limits);
  }
}

// Guards against a store that keeps fewer copies than losses require, or starts
// on a machine without a disk.
Test(node_file, reads_the_settings_of_a_turn_store) {
  const std::string common =
      R"({"node_name":"n","zone":"z","ip":"10.0.0.1","inner_ports":[7780,7795],)"
      R"("platform":{"address":"10.0.0.9:1"},"tolerate":{"machines":2})";
  const auto settings = ParseTurnStoreFile(
      common + R"(,"data_dir":"/data/x","first_start":true})", "file");
  cr_assert(!Failed(settings));
  cr_assert(ValueOf(settings).host == "n");
  cr_assert(ValueOf(settings).address == "10.0.0.1:7780");
  cr_assert(ValueOf(settings).data_directory == "/data/x");
  cr_assert(ValueOf(settings).first_start);
  cr_assert(ValueOf(settings).tolerated_losses == 2);
  const auto diskless =
      ParseTurnStoreFile(common + R"(,"data_dir":null})", "file");
  cr_assert(Failed(diskless));
  cr_assert(ErrorOf(diskless).message.find("data_dir") != std::string::npos);
}

// Guards against a refusal reason that `gentianrun explain` can't explain.
Test(refusal, every_reason_has_a_meaning) {
  const int last = static_cast<int>(refusal_reason::turn_not_kept);
  for (int i = 0; i <= last; ++i) {
    const char* name = NameOf(static_cast<refusal_reason>(i));
    cr_assert(!request_history::MeaningOf(name).empty(), "%s", name);
  }
}

// Guards against targets without a reported load because their services send a
// fourth figure.
Test(platform_protocol, reads_load_reports_with_and_without_a_pace) {
  const auto load_of = [](const char* text) {
    http_headers headers;
    headers.Add("Server-Load", text);
    return platform_protocol().DecodeAnswer(200, headers).load;
  };
  const auto plain = load_of("3,1,8");
  cr_assert(plain && plain->running == 3 && plain->waiting == 1);
  cr_assert(!plain->pace);
  const auto paced = load_of("3,1,8,250");
  cr_assert(paced && paced->running == 3 && paced->waiting == 1);
  cr_assert(paced->pace && *paced->pace == 2.5);
  const auto extended = load_of("3,1,8,100,7");
  cr_assert(extended && extended->pace && *extended->pace == 1);
  const auto impossible = load_of("3,1,8,0");
  cr_assert(impossible && !impossible->pace);
  for (const char* damaged : {"3,1", "3,1,8,x", "3,,8,100", "", "-1,0,8"}) {
    cr_assert(!load_of(damaged), "%s", damaged);
  }
}

// Guards against prompts that are taken for shared although they belong to one
// request, and against damaged lists.
Test(platform_protocol, reads_the_shared_part_of_a_prompt) {
  const auto prompt_of = [](const std::string& text) {
    http_request request = CallerRequest();
    request.headers.Add("Prompt-Prefix", text);
    return platform_protocol().DecodeCall(request)->prompt;
  };
  const shared_prompt shared = prompt_of("5c1e07a2:12600,e4402b7d:1680");
  cr_assert(shared.id == "5c1e07a2" && shared.tokens == 12'600);
  for (const std::string& text :
       {std::string("e4402b7d:1680"), std::string(":1,2:3"),
        std::string("a:x,b:1"), std::string(100, 'a') + ":1,b:2",
        std::string()}) {
    cr_assert(prompt_of(text).id.empty(), "%s", text.c_str());
  }
  cr_assert(platform_protocol().DecodeCall(CallerRequest())->prompt_tokens ==
            1'840);
}

// Guards against a cold target that is taken for a warm one.
Test(platform_protocol, reads_how_long_a_target_stays_cold) {
  const auto cold_left = [](const std::string& field) {
    const auto record = platform_protocol().DecodeTarget(
        {"servers/i",
         R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":4,)"
         R"("state":"ready","seq":1,"version":"v1")" +
             field + "}"});
    cr_assert(!Failed(record));
    return ValueOf(record).cold_left;
  };
  cr_assert(cold_left("") == milliseconds(0));
  cr_assert(cold_left(R"(,"cold_left_ms":0)") == milliseconds(0));
  cr_assert(cold_left(R"(,"cold_left_ms":2500.5)") == milliseconds(2'500));
  for (const char* odd : {"-1", "1e300", R"("soon")", "[]"}) {
    cr_assert(cold_left(std::string(R"(,"cold_left_ms":)") + odd) ==
                  milliseconds::max(),
              "%s", odd);
  }
  http_headers headers;
  headers.Add("Cold-Ms", "1200");
  cr_assert(platform_protocol().DecodeAnswer(200, headers).cold_left ==
            milliseconds(1'200));
  cr_assert(!platform_protocol().DecodeAnswer(200, {}).cold_left);
}

// Guards against a drain request or a configuration that is taken for an
// evacuation, and the other way round.
Test(platform_protocol, reads_evacuations_and_regions) {
  const platform_protocol protocol;
  cr_assert(protocol.DecodeEvacuation({"op/evacuate/z-a", "{}"}) == "z-a");
  cr_assert(!protocol.DecodeEvacuation({"op/retire/z-a", "{}"}));
  cr_assert(!protocol.DecodeEvacuation({"op/config", "{}"}));
  const auto configuration = protocol.DecodeConfiguration(
      {"op/config",
       R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/r/",)"
       R"("service":"s","allowed_regions":["north","south"]}],"services":[)"
       R"({"name":"s","cold_start_s":3.0,"cold_per_s":26.0,)"
       R"("engine":{"kv_capacity":465675}}],"tenants":[{"name":"t",)"
       R"("api_keys":["k"],"allowed_regions":["north"]}]})"});
  cr_assert(!Failed(configuration));
  const gateway_configuration& content = *ValueOf(configuration);
  cr_assert(content.FindRoute("h", "/r/")->allowed_regions ==
            std::vector<std::string>({"north", "south"}));
  cr_assert(content.FindTeam("t")->allowed_regions ==
            std::vector<std::string>({"north"}));
  cr_assert(content.FindService("s")->cold_time == milliseconds(3'000));
  cr_assert(content.FindService("s")->cold_rate == 26);
  cr_assert(content.FindService("s")->memory_tokens == 465'675);
}

// Guards against a directory that doesn't see where its caller is.
Test(platform_protocol, reads_where_a_caller_asks_from) {
  http_request request;
  request.target = "/resolve?name=a%2Eexample&zone=z-a&region=north";
  const directory_query query =
      platform_protocol().DecodeDirectoryQuery(request);
  cr_assert(query.host == "a.example");
  cr_assert(query.failure_domain == "z-a");
  cr_assert(query.region == "north");
  request.target = "/resolve?zone";
  cr_assert(
      platform_protocol().DecodeDirectoryQuery(request).failure_domain.empty());
}

// Guards against a gateway that takes its own region for every region, or the
// bounds of cold targets for those of another deployment.
Test(node_file, names_regions_and_bounds_of_cold_targets) {
  const std::string begin =
      R"({"node_name":"n","ip":"10.0.0.1","inner_ports":[7780],)"
      R"("zone":"z-a","region":"north","platform":{"address":"10.0.0.2:1"})";
  const auto named = ParseNodeFile(
      begin + R"(,"zones":{"z-a":"north","z-b":"south","z-c":1},)"
              R"("contracts":["base","places"],)"
              R"("bounds":{"cold_over":2,"cold_slack":3,"evac_ms":4000,)"
              R"("stable_window_ms":2500}})",
      "file");
  cr_assert(!Failed(named));
  const gateway_settings& settings = ValueOf(named);
  cr_assert(settings.region == "north");
  const std::map<std::string, std::string> expected = {{"z-a", "north"},
                                                       {"z-b", "south"}};
  cr_assert(settings.regions == expected);
  cr_assert(settings.cold_factor == 2 && settings.cold_slack == 3);
  cr_assert(settings.evacuation_bound == milliseconds(4'000));
  cr_assert(settings.stable_window == milliseconds(2'500));
  const auto absent = ParseNodeFile(begin + "}", "file");
  cr_assert(!Failed(absent));
  cr_assert(ValueOf(absent).regions.empty());
  cr_assert(!ValueOf(absent).stable_window);
  const auto other_rules = ParseNodeFile(
      begin + R"(,"contracts":["base"],"bounds":{"stable_window_ms":2500}})",
      "file");
  cr_assert(!ValueOf(other_rules).stable_window);
  cr_assert(ValueOf(absent).cold_factor == gateway_settings().cold_factor);
}
