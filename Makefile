# What is done most: build, test, lint, run. CI does all but the last, by .ci/run.

.PHONY: build test lint run ci standing regression

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# make run CONFIG=config.json [STATE=folder]
STATE ?= target/state
run: build
	mkdir -p $(STATE)
	ROUTER_STATE=$(STATE) target/release/juniperwing serve --config $(CONFIG)

ci:
	.ci/run

# The operators' benches, for maintainers who have the kit beside the repository; CI needs neither.
KIT ?= ../given/kit
SITE ?= $(KIT)/sites/hengli-taipei.toml
MOVE ?= $(KIT)/more/move
WHY ?= Regression of the text as it stands
define kit
	@test -d $(KIT) || { echo "the operators' kit is not at $(KIT): nothing was played" >&2; exit 2; }
endef

standing:
	$(kit)
	$(KIT)/more/mass/bin/lbreal score $(SITE) --quick --why "$(WHY)"

regression:
	$(kit)
	$(KIT)/more/bin/lbreal score $(SITE) --quick --why "$(WHY)"
	$(KIT)/more/bin/lbreal score $(SITE) --panel later --quick --why "$(WHY)"
	$(MOVE)/bin/lbsim score $(foreach site,hengli-taipei hengli-taipei-later kingston-main sofia-delivery,$(MOVE)/sites/$(site).toml) --quick --why "$(WHY)"
