/**
Runs one leader for each model service of the configuration in force.
*/
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {ServiceConfiguration} from '../generated/configuration.js';
import type {Message} from '../generated/messages.js';
import {ServiceLeader} from '../leading/service-leader.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import type {Metrics} from '../shared/metrics.js';
import type {GatewayStatus} from './gateway-status.js';
import type {ServiceCatalogue} from './service-catalogue.js';
import type {TargetLinks} from './target-links.js';

type LeadersOptions = {
	readonly gateway: string;
	readonly gateways: () => readonly string[];
	readonly store: KeyValueService;
	readonly directory: TargetDirectory;
	readonly links: TargetLinks;
	readonly metrics: Metrics;
};

/**
Leaders of one gateway. Each of them leads its service only while it holds the service's lease.

@example
```
leaders.update(catalogue, modelVersions);
setInterval(() => leaders.tick(), 500);
```
*/
export class ServiceLeaders {
	readonly #options: LeadersOptions;
	readonly #leaders = new Map<string, ServiceLeader>();
	#catalogue: ServiceCatalogue | undefined;
	#modelVersions: ReadonlyMap<string, string> = new Map();

	constructor(options: LeadersOptions) {
		this.#options = options;
	}

	/** Services that this gateway leads now, for the status. */
	get ledServices(): GatewayStatus['leading'] {
		return [...this.#leaders]
			.filter(([, leader]) => leader.isLeading)
			.map(([service, leader]) => ({service, fencingNumber: leader.fencingNumber, orders: Object.fromEntries(leader.orders)}));
	}

	/** Names of the targets that the leaders keep links to. */
	get targetsToReach(): readonly string[] {
		return [...this.#leaders.values()].flatMap(leader => leader.targetsToReach);
	}

	/** Applies a new configuration. `modelVersions` maps the name of a model to its version. */
	update(catalogue: ServiceCatalogue, modelVersions: ReadonlyMap<string, string>): void {
		this.#catalogue = catalogue;
		this.#modelVersions = modelVersions;
		const services = catalogue.services.filter(({kind}) => kind === 'model');
		for (const [name, leader] of this.#leaders) {
			if (!services.some(service => service.name === name)) {
				leader.resign();
				this.#leaders.delete(name);
			}
		}

		for (const service of services.filter(({name}) => !this.#leaders.has(name))) {
			this.#leaders.set(service.name, this.#createLeader(service));
		}
	}

	/** Advances the leaders. It has to be called several times a second. */
	tick(): void {
		for (const leader of this.#leaders.values()) {
			leader.tick();
		}
	}

	/** Passes a sidecar's answer to the leader of its service. */
	receive(target: string, message: Message): void {
		if (message.kind === 'fence raised' || message.kind === 'order result') {
			const service = this.#options.directory.get(target)?.service ?? '';
			this.#leaders.get(service)?.receive(target, message);
		}
	}

	/** Releases all leases before a planned stop. */
	resign(): void {
		for (const leader of this.#leaders.values()) {
			leader.resign();
		}
	}

	#createLeader(service: ServiceConfiguration): ServiceLeader {
		const {links, ...options} = this.#options;
		const current = (): ServiceConfiguration => this.#catalogue?.byName(service.name) ?? service;
		return new ServiceLeader({
			...options,
			service: current,
			version: () => this.#modelVersions.get(current().model ?? '') ?? '',
			ledServices: () => this.ledServices.length,
			link(target) {
				const link = links.get(target);
				return {incarnation: link?.peerIncarnation, send: message => link?.send(message) ?? false};
			},
		});
	}
}
