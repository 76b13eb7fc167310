/**
Look-ups into the configuration in force.
*/
import type {Configuration, RequestClass, ServiceConfiguration} from '../generated/configuration.js';

const defaultClass: RequestClass = {name: 'default', importance: 'normal', deadlineMilliseconds: 60_000};

/**
The services of one configuration, by name and by model.

@example
```
catalogue.byModel('appraiser-7b')?.name; // 'appraiser-models'
```
*/
export class ServiceCatalogue {
	readonly services: readonly ServiceConfiguration[];
	readonly #byName: ReadonlyMap<string, ServiceConfiguration>;
	readonly #byModel: ReadonlyMap<string, ServiceConfiguration>;

	constructor(configuration: Configuration) {
		this.services = configuration.services;
		this.#byName = new Map(configuration.services.map(service => [service.name, service]));
		this.#byModel = new Map(configuration.services.flatMap(service => service.model === undefined ? [] : [[service.model, service]]));
	}

	byName(name: string): ServiceConfiguration | undefined {
		return this.#byName.get(name);
	}

	byModel(model: string): ServiceConfiguration | undefined {
		return this.#byModel.get(model);
	}

	/** The class that a request names, else the one with the highest threshold that its prompt reaches. */
	classOf(service: ServiceConfiguration, named: string | undefined, promptTokens: number): RequestClass {
		const classes = service.classes ?? [];
		const reached = classes
			.filter(({minimumPromptTokens}) => minimumPromptTokens !== undefined && promptTokens >= minimumPromptTokens)
			.sort((first, second) => (second.minimumPromptTokens ?? 0) - (first.minimumPromptTokens ?? 0));
		return classes.find(({name}) => name === named) ?? reached[0] ?? classes[0] ?? defaultClass;
	}

	/** True when running an operation of a plain service twice does no harm. */
	isRepeatable(service: ServiceConfiguration, method: string, path: string): boolean {
		return method === 'GET' || method === 'HEAD'
			|| (service.repeatable ?? []).some(operation => operation.method === method && path.startsWith(operation.pathPrefix));
	}
}
