/**
One gateway's leaders, one for each model service of the configuration in force.
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
Follows the configuration and drives the leaders.

@example
```
leaders.update(catalogue, versions);
setInterval(() => leaders.tick(), 500);
```
*/
export class ServiceLeaders {
	readonly #options: LeadersOptions;
	readonly #leaders = new Map<string, ServiceLeader>();
	#catalogue: ServiceCatalogue | undefined;
	#versions: ReadonlyMap<string, string> = new Map();

	constructor(options: LeadersOptions) {
		this.#options = options;
	}

	/** The services led from here, for the status page. */
	get leading(): GatewayStatus['leading'] {
		return [...this.#leaders]
			.filter(([, leader]) => leader.isLeading)
			.map(([service, leader]) => ({service, fencingNumber: leader.fencingNumber, orders: Object.fromEntries(leader.orders)}));
	}

	/** Targets that leaders keep links to. */
	get targetsToReach(): readonly string[] {
		return [...this.#leaders.values()].flatMap(leader => leader.targetsToReach);
	}

	/** Takes a new configuration: its services, and the version of each model. */
	update(catalogue: ServiceCatalogue, versions: ReadonlyMap<string, string>): void {
		this.#catalogue = catalogue;
		this.#versions = versions;
		const services = catalogue.services.filter(({kind}) => kind === 'model');
		for (const [name, leader] of this.#leaders) {
			if (!services.some(service => service.name === name)) {
				leader.resign();
				this.#leaders.delete(name);
			}
		}

		for (const service of services.filter(({name}) => !this.#leaders.has(name))) {
			this.#leaders.set(service.name, this.#create(service));
		}
	}

	/** To be called several times a second. */
	tick(): void {
		for (const leader of this.#leaders.values()) {
			leader.tick();
		}
	}

	/** Hands a sidecar's answer to the leader of its service. */
	receive(target: string, message: Message): void {
		if (message.kind === 'fence raised' || message.kind === 'order result') {
			const service = this.#options.directory.get(target)?.service ?? '';
			this.#leaders.get(service)?.receive(target, message);
		}
	}

	/** Gives all leases back, for a planned stop. */
	resign(): void {
		for (const leader of this.#leaders.values()) {
			leader.resign();
		}
	}

	#create(service: ServiceConfiguration): ServiceLeader {
		const {links, ...options} = this.#options;
		const current = (): ServiceConfiguration => this.#catalogue?.byName(service.name) ?? service;
		return new ServiceLeader({
			...options,
			service: current,
			version: () => this.#versions.get(current().model ?? '') ?? '',
			ledServices: () => this.leading.length,
			link(target) {
				const link = links.get(target);
				return {incarnation: link?.peerIncarnation, send: message => link?.send(message) ?? false};
			},
		});
	}
}
